// Divides a limit, and the excess that its bound permits.
#include "berylreach/forward/shared_limit.h"

#include <algorithm>

#include "berylreach/base/seconds.h"

namespace berylreach::forward {
namespace {

using base::InSeconds;
using std::chrono::milliseconds;

/// Parts of the excess that the bound permits beyond rate and burst. An owner's
/// bucket holds more than its part of the burst, so that it need not grant each
/// token at once.
constexpr double kCapacityPart = 0.25;
/// Tokens that are granted before a window and used in it.
constexpr double kLifePart = 0.3;
constexpr double kStartPart = 0.05;
constexpr double kUnconfirmedPart = 0.1;
constexpr double kUnregisteredPart = 0.1;
constexpr double kAllowancePart = 0.1;

/// Longest time from a claim until the token is used.
constexpr milliseconds kMaxLife{1000};
/// Smallest part of kLifePart that is left for the time at a host.
constexpr double kMinHostPart = 0.25;

}  // namespace

LimitPlan PlanLimit(const LimitSpec& spec, const QuotaBounds& bounds,
                    std::size_t regions) {
  const double window = std::max(0.001, InSeconds(bounds.window));
  const double excess =
      bounds.slack + bounds.overage * (spec.rate * window + spec.burst);
  const auto shares = static_cast<double>(std::max<std::size_t>(1, regions));
  LimitPlan plan;
  plan.region_rate = spec.rate / shares;
  plan.capacity = (spec.burst + kCapacityPart * excess) / shares;
  // Tokens of other regions may be on their way between owners.
  const double in_window = kLifePart * excess;
  const double in_transit =
      spec.rate * (1 - 1 / shares) * InSeconds(LimitPlan::kMaxTransit);
  const double held =
      std::max(in_window - in_transit, kMinHostPart * in_window);
  plan.token_life =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          std::min(InSeconds(kMaxLife), held / spec.rate)));
  // Half of each part may be used at once, the other half over a window.
  const auto rate_of = [&](double part) { return part / 2 * excess / window; };
  const auto burst_of = [&](double part) { return part / 2 * excess; };
  plan.start_tokens = std::min(plan.capacity, kStartPart * excess / shares);
  plan.unconfirmed_rate =
      std::min(plan.region_rate, rate_of(kUnconfirmedPart) / shares);
  plan.unconfirmed_capacity = burst_of(kUnconfirmedPart) / shares;
  plan.unregistered_rate =
      std::min(plan.region_rate, rate_of(kUnregisteredPart) / shares);
  plan.unregistered_capacity = burst_of(kUnregisteredPart) / shares;
  plan.allowance_rate = rate_of(kAllowancePart);
  plan.allowance_burst = burst_of(kAllowancePart);
  return plan;
}

}  // namespace berylreach::forward
