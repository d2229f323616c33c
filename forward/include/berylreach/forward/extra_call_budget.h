// Budget for retries and hedges, the calls of a request beyond the first.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/forward/service_shares.h"

namespace berylreach::forward {

/// The limit on retries and hedges of one service, for all hosts together.
struct ExtraCallLimits {
  /// Extra calls per request for the service.
  double ratio = 0.2;
  /// Extra calls allowed in each window beyond the ratio.
  double slack = 0;
  std::chrono::milliseconds window{10000};

  friend bool operator==(const ExtraCallLimits&,
                         const ExtraCallLimits&) = default;
};

/// The purpose of an extra call. Hedges may use only a fraction of the budget;
/// the rest is reserved for retries, which follow an actual failure.
enum class ExtraCall { kRetry, kHedge };

/// Allows each host extra calls in proportion to its own requests, plus its
/// share of the slack, so that all hosts together stay within the limit without
/// exchanging messages. Not thread-safe.
class ExtraCallBudget {
 public:
  /// `clock` and `shares` must outlive the budget.
  ExtraCallBudget(const base::Clock& clock, ExtraCallLimits limits,
                  const ServiceShares& shares);

  /// Records a request of a caller that needs `service`.
  void OnRequest(const std::string& service);

  /// Takes one extra call from the budget; returns false if none is left in the
  /// window.
  bool TrySpend(const std::string& service, ExtraCall kind);

  /// Fraction of the budget of `service` that is left, 0 to 1.
  double RemainingShare(const std::string& service);

 private:
  /// Counts of one bucket, a fixed fraction of a window.
  struct Bucket {
    base::TimePoint begin;
    std::size_t requests = 0;
    std::size_t extra = 0;
  };
  /// Counts of a sliding window, in total and by bucket.
  struct Window {
    std::deque<Bucket> buckets;
    std::size_t requests = 0;
    std::size_t extra = 0;
  };

  /// Returns the window of the service without the buckets that have left it.
  Window& CurrentWindow(const std::string& service);
  /// Number of extra calls that this host may send in the window, including
  /// those that it has sent.
  double Allowed(const std::string& service, const Window& window) const;

  const base::Clock& clock_;
  ExtraCallLimits limits_;
  const ServiceShares& shares_;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace berylreach::forward
