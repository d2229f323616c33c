// Divides a limit, and the excess that its bound permits.
#include "berylreach/forward/shared_limit.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Parts of the excess that the bound permits beyond rate and burst. An owner's
/// bucket holds more than its part of the burst, so that it need not grant each
/// token at once.
constexpr double kCapacityPart = 0.25;
/// Tokens that are granted before a window and used in it.
constexpr double kLifePart = 0.25;
constexpr double kUnconfirmedPart = 0.1;
constexpr double kUnregisteredPart = 0.15;
/// Half of the allowance may be used at once, the other half over a window.
constexpr double kAllowancePart = 0.15;

/// Longest time from a grant until the token is used.
constexpr milliseconds kMaxLife{1000};

double InSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

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
  const double life = std::min(std::chrono::duration<double>(kMaxLife).count(),
                               kLifePart * excess / spec.rate);
  // A token may pass through the owners of two regions.
  plan.token_life = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(life / 2));
  const double excess_rate = excess / window / shares;
  plan.unconfirmed_rate =
      std::min(plan.region_rate, kUnconfirmedPart * excess_rate);
  plan.unregistered_rate =
      std::min(plan.region_rate, kUnregisteredPart * excess_rate);
  plan.allowance_burst = kAllowancePart * excess / 2;
  plan.allowance_rate = kAllowancePart * excess / 2 / window;
  return plan;
}

}  // namespace berylreach::forward
