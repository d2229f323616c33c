// Smooths the latencies of a route's calls.
#include "berylreach/forward/route_latency.h"

#include <algorithm>
#include <chrono>

namespace berylreach::forward {
namespace {

/// Reciprocals of the weight of a new sample in the mean and in the deviation.
/// A route's calls go to many leaves, so each one counts for less than in the
/// estimate of a single leaf.
constexpr int kMeanDivisor = 16;
constexpr int kDeviationDivisor = 8;

/// Added to the limit of a sample, for the granularity of timers.
constexpr std::chrono::milliseconds kTimerMargin{4};

}  // namespace

void RouteLatency::OnAnswer(base::Duration time) {
  time = std::max(time, base::Duration::zero());
  if (++samples_ == 1) {
    mean_ = time;
    deviation_ = time / 2;
    return;
  }
  // Limits the sample, so that a pause of one leaf does not count as work.
  time = std::min(time, 2 * mean_ + 4 * deviation_ + kTimerMargin);
  const base::Duration error = time - mean_;
  mean_ += error / kMeanDivisor;
  deviation_ +=
      ((error < base::Duration::zero() ? -error : error) - deviation_) /
      kDeviationDivisor;
}

}  // namespace berylreach::forward
