// The silence threshold of a service.
#include "berylreach/limits/silence_threshold.h"

#include <algorithm>

namespace berylreach::limits {
namespace {

constexpr double kQuantile = 0.99;
constexpr int kFactor = 3;

/// Fewer samples give no usable quantile.
constexpr std::size_t kMinSamples = 4;

/// So many silent calls without any answer between them are taken for a service
/// that has become slower than the threshold. Fewer are broken connections,
/// which must not raise the threshold for the others.
constexpr std::size_t kSilencesOfSlowService = 4;

}  // namespace

void SilenceThreshold::OnAnswer(base::Duration latency) {
  silences_in_row_ = 0;
  latencies_.Add(latency);
}

void SilenceThreshold::OnSilence(base::Duration elapsed) {
  ++silences_in_row_;
  if (silences_in_row_ >= kSilencesOfSlowService) latencies_.Add(elapsed);
}

std::chrono::milliseconds SilenceThreshold::Value() const {
  const auto p99 = latencies_.Quantile(kQuantile, kMinSamples);
  if (!p99) return kMinThreshold;
  return std::max(
      kMinThreshold,
      std::chrono::duration_cast<std::chrono::milliseconds>(kFactor * *p99));
}

}  // namespace berylreach::limits
