// How long a follower waits for the host whose feed it reads.
#pragma once

#include <chrono>
#include <optional>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// Times of one poll of a feed.
struct PollTimes {
  /// Time for which the other host may hold its response back while there are
  /// no changes.
  std::chrono::milliseconds wait{};
  /// Time after which the poll is given up.
  std::chrono::milliseconds timeout{};

  friend bool operator==(const PollTimes&, const PollTimes&) = default;
};

/// Age of its view at which a follower reads the store itself, unless the host
/// that it follows answers by then.
inline constexpr std::chrono::milliseconds kMaxFollowedViewAge{3500};

/// Returns the times of a poll by a follower whose view is known to have been
/// current until `view_age` ago; empty if the other host is of a build that
/// holds polls for as long as it sees fit. An answer makes a view no younger
/// than that of the host which sends it, so the time for which a follower may
/// rely on that host ends by the age of the view, not by the time of the latest
/// answer.
PollTimes PollTimesFor(std::optional<base::Duration> view_age);

}  // namespace berylreach::forward
