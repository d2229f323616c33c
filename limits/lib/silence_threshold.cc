// Computation of a service's silence threshold.
#include "berylreach/limits/silence_threshold.h"

#include <algorithm>

namespace berylreach::limits {
namespace {

constexpr double kQuantile = 0.99;
constexpr int kFactor = 3;

/// With fewer samples the quantile is not reliable.
constexpr std::size_t kMinSamples = 4;

/// This many consecutive calls without an answer indicate a service that has
/// become slower than the threshold. Fewer indicate broken connections, which
/// must not raise the threshold for other connections.
constexpr std::size_t kMinUnansweredCallsOfSlowService = 4;

}  // namespace

void SilenceThreshold::OnAnswer(base::Duration latency) {
  consecutive_unanswered_ = 0;
  latencies_.Add(latency);
}

void SilenceThreshold::OnUnansweredCall(base::Duration elapsed) {
  ++consecutive_unanswered_;
  if (consecutive_unanswered_ >= kMinUnansweredCallsOfSlowService)
    latencies_.Add(elapsed);
}

std::chrono::milliseconds SilenceThreshold::Value() const {
  const auto p99 = latencies_.Quantile(kQuantile, kMinSamples);
  if (!p99) return kMinThreshold;
  return std::max(
      kMinThreshold,
      std::chrono::duration_cast<std::chrono::milliseconds>(kFactor * *p99));
}

}  // namespace berylreach::limits
