// Sliding windows of requests and extra calls.
#include "berylreach/forward/extra_call_budget.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

/// Slices of a window; the window slides by one slice at a time.
constexpr int kSlices = 20;

/// Share of the budget that hedges may use.
constexpr double kHedgeShare = 0.7;

/// Share of the allowance that is used at all. The rest covers calls that
/// arrive at the leaves in another window than they were counted in here.
constexpr double kUsableShare = 0.9;

/// Parts of the slack. They leave room for a new set of coordinators beside a
/// host that still takes itself for one of the former.
constexpr ShareParts kSlackParts{.owners = 0.3,
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
  ++window.slices.back().requests;
}

bool ExtraCallBudget::TrySpend(const std::string& service, ExtraCall kind) {
  Window& window = CurrentWindow(service);
  const double share = kind == ExtraCall::kHedge ? kHedgeShare : 1.0;
  if (static_cast<double>(window.extra + 1) > share * Allowed(service, window))
    return false;
  ++window.extra;
  ++window.slices.back().extra;
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
  const base::Duration slice = base::Duration(limits_.window) / kSlices;
  // One slice more than the window is kept, since the oldest one is only
  // partly in it.
  while (!window.slices.empty() &&
         window.slices.front().begin + limits_.window + slice <= now) {
    window.requests -= window.slices.front().requests;
    window.extra -= window.slices.front().extra;
    window.slices.pop_front();
  }
  if (window.slices.empty() || window.slices.back().begin + slice <= now)
    window.slices.push_back({now});
  return window;
}

double ExtraCallBudget::Allowed(const std::string& service,
                                const Window& window) const {
  return kUsableShare * (limits_.ratio * static_cast<double>(window.requests) +
                         limits_.slack * shares_.ShareOf(service, kSlackParts));
}

}  // namespace berylreach::forward
