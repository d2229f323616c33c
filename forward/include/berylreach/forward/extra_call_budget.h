// Bounds the calls beyond the first of each request.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/forward/service_shares.h"

namespace berylreach::forward {

/// The bound on retries and hedges of one service, all hosts together.
struct ExtraCallLimits {
  /// Extra calls per request of the service.
  double ratio = 0.2;
  /// Extra calls allowed beyond the ratio, in each window.
  double slack = 0;
  std::chrono::milliseconds window{10000};

  friend bool operator==(const ExtraCallLimits&,
                         const ExtraCallLimits&) = default;
};

/// What an extra call is for. Hedges leave a part of the budget to retries,
/// which answer a failure that has already happened.
enum class ExtraCall { kRetry, kHedge };

/// Each host may use its own requests times the ratio and its share of the
/// slack, so that all hosts together stay within the bound without a message
/// between them. Not thread-safe.
class ExtraCallBudget {
 public:
  /// `clock` and `shares` must outlive the budget.
  ExtraCallBudget(const base::Clock& clock, ExtraCallLimits limits,
                  const ServiceShares& shares);

  /// A request of a caller that needs `service`.
  void OnRequest(const std::string& service);

  /// Takes one extra call; false if none is left in the window.
  bool TrySpend(const std::string& service, ExtraCall kind);

  /// Share of the budget of `service` that is left, 0 to 1.
  double RemainingShare(const std::string& service);

 private:
  struct Slice {
    base::TimePoint begin;
    std::size_t requests = 0;
    std::size_t extra = 0;
  };
  struct Window {
    std::deque<Slice> slices;
    std::size_t requests = 0;
    std::size_t extra = 0;
  };

  Window& CurrentWindow(const std::string& service);
  double Allowed(const std::string& service, const Window& window) const;

  const base::Clock& clock_;
  ExtraCallLimits limits_;
  const ServiceShares& shares_;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace berylreach::forward
