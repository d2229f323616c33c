// Counts requests and extra calls in a sliding window for each service.
#include "berylreach/forward/extra_call_budget.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

/// Number of buckets of a window, which slides by one bucket at a time.
constexpr int kBuckets = 20;

/// Fraction of the budget that hedges may use.
constexpr double kHedgeShare = 0.7;

/// Fraction of the limit that is used. The rest covers calls that reach the
/// leaves in a later window than the one in which they are counted here.
constexpr double kUsableShare = 0.9;

/// How the slack is divided among the roles of hosts. The fractions leave room
/// for a new set of coordinators while former coordinators still use their
/// shares, because they have not learned of the change.
constexpr RoleShares kSlackShares{.owners = 0.3,
                                  .coordinators = 0.3,
                                  .new_coordinators = 0.15,
                                  .hosts = 0.25};

}  // namespace

ExtraCallBudget::ExtraCallBudget(const base::Clock& clock,
                                 ExtraCallLimits limits,
                                 const ServiceShares& shares)
    : clock_(clock), limits_(limits), shares_(shares) {}

void ExtraCallBudget::OnRequest(const std::string& service) {
  Window& window = CurrentWindow(service);
  ++window.requests;
  ++window.buckets.back().requests;
}

bool ExtraCallBudget::TrySpend(const std::string& service, ExtraCall kind) {
  Window& window = CurrentWindow(service);
  const double share = kind == ExtraCall::kHedge ? kHedgeShare : 1.0;
  if (static_cast<double>(window.extra + 1) > share * Allowed(service, window))
    return false;
  ++window.extra;
  ++window.buckets.back().extra;
  return true;
}

double ExtraCallBudget::RemainingShare(const std::string& service) {
  const Window& window = CurrentWindow(service);
  const double allowed = Allowed(service, window);
  if (allowed <= 0) return 0;
  return std::max(0.0, 1 - static_cast<double>(window.extra) / allowed);
}

ExtraCallBudget::Window& ExtraCallBudget::CurrentWindow(
    const std::string& service) {
  Window& window = windows_[service];
  const base::TimePoint now = clock_.Now();
  const base::Duration bucket_length =
      base::Duration(limits_.window) / kBuckets;
  // Keeps one bucket more than the window has, since the oldest bucket is only
  // partly inside the window.
  while (!window.buckets.empty() &&
         window.buckets.front().begin + limits_.window + bucket_length <= now) {
    window.requests -= window.buckets.front().requests;
    window.extra -= window.buckets.front().extra;
    window.buckets.pop_front();
  }
  if (window.buckets.empty() ||
      window.buckets.back().begin + bucket_length <= now)
    window.buckets.push_back({now});
  return window;
}

double ExtraCallBudget::Allowed(const std::string& service,
                                const Window& window) const {
  return kUsableShare *
         (limits_.ratio * static_cast<double>(window.requests) +
          limits_.slack * shares_.ShareOf(service, kSlackShares));
}

}  // namespace berylreach::forward
