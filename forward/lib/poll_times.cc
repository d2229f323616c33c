// Divides the time for which a follower may rely on another host.
#include "berylreach/forward/poll_times.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxWait{2000};
constexpr milliseconds kMaxTimeout{3000};

/// Shortest wait, which bounds the rate of polls while no host is current.
constexpr milliseconds kMinWait{300};
/// Shortest time that the response may take beyond the wait.
constexpr milliseconds kMinMargin{500};

}  // namespace

PollTimes PollTimesFor(std::optional<base::Duration> view_age) {
  if (!view_age) return {.wait = kMaxWait, .timeout = kMaxTimeout};
  const auto left =
      std::chrono::duration_cast<milliseconds>(kMaxFollowedViewAge - *view_age);
  const milliseconds wait = std::clamp(left - kMinMargin, kMinWait, kMaxWait);
  return {.wait = wait,
          .timeout = std::clamp(left, wait + kMinMargin, kMaxTimeout)};
}

}  // namespace berylreach::forward
