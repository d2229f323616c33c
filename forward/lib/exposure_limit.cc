// Divides the slack among hosts, and limits calls to the target version.
#include "berylreach/forward/exposure_limit.h"

#include <algorithm>
#include <cmath>

#include "berylreach/base/rendezvous.h"

namespace berylreach::forward {
namespace {

/// Part of the slack that hosts divide. The rest covers hosts that restart or
/// have an outdated list of hosts.
constexpr double kDividedSlack = 0.6;

/// Part of the limit that may be used before the load test.
constexpr double kObservedPart = 0.5;

}  // namespace

double SlackPart(const ExposureLimits& limits, const std::string& self,
                 const std::vector<std::string>& hosts,
                 const std::string& order) {
  if (hosts.empty()) return 0;
  const double total = std::floor(kDividedSlack * limits.slack);
  const auto count = static_cast<double>(hosts.size());
  const double whole = std::floor(total / count);
  const double left = total - whole * count;
  const std::uint64_t own_weight = base::RendezvousWeight(order, self);
  const auto heavier =
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != self && base::RendezvousWeight(order, host) > own_weight;
      });
  return whole + (static_cast<double>(heavier) < left ? 1 : 0);
}

void ExposureLimit::Restart(double slack_part) {
  earned_ = std::min(earned_ - used_, slack_part);
  used_ = 0;
}

bool ExposureLimit::MayCallWithReserve() const {
  return MayCall() && used_ + 1 <= std::max(1.0, kObservedPart * earned_);
}

}  // namespace berylreach::forward
