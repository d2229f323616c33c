// Smooths latencies by route, zone and distance.
#include "berylreach/forward/slowness_estimate.h"

#include <algorithm>
#include <array>

namespace berylreach::forward {
namespace {

/// An answer that takes this many times the estimate is slow.
constexpr double kSlowFactor = 2.5;

/// An answer that exceeds the estimate by less is not slow: scheduling of the
/// processes involved adds about this much to short calls.
constexpr std::chrono::milliseconds kMinExcess{10};

/// Number of samples from which an estimate is used.
constexpr std::size_t kMinSamples = 8;

/// Weight of the latest sample.
constexpr double kSmoothing = 1.0 / 16;

/// A sample counts as at most this many times the mean, so that a pause of one
/// leaf does not raise the estimate for long.
constexpr double kMaxSample = 4;

constexpr std::array kDistances{Distance::kSameZone, Distance::kSameRegion,
                                Distance::kOtherRegion};

}  // namespace

void SlownessEstimate::Mean::Add(double sample) {
  ++samples;
  if (samples > kMinSamples) sample = std::min(sample, kMaxSample * value);
  const double weight = std::max(kSmoothing, 1 / static_cast<double>(samples));
  value += weight * (sample - value);
}

bool SlownessEstimate::Mean::IsKnown() const { return samples >= kMinSamples; }

void SlownessEstimate::OnAnswer(const std::string& route,
                                const std::string& zone, Distance distance,
                                base::Duration latency) {
  const auto sample = static_cast<double>(latency.count());
  by_zone_[{route, zone}].Add(sample);
  by_distance_[{route, distance}].Add(sample);
}

std::optional<base::Duration> SlownessEstimate::Threshold(
    const std::string& route, const std::string& zone,
    Distance distance) const {
  const Mean* mean = nullptr;
  const auto in_zone = by_zone_.find({route, zone});
  if (in_zone != by_zone_.end() && in_zone->second.IsKnown())
    mean = &in_zone->second;
  for (const Distance at : kDistances) {
    if (mean != nullptr || at < distance) continue;
    const auto found = by_distance_.find({route, at});
    if (found != by_distance_.end() && found->second.IsKnown())
      mean = &found->second;
  }
  if (mean == nullptr) return std::nullopt;
  const base::Duration expected(static_cast<base::Duration::rep>(mean->value));
  return std::max(
      std::chrono::duration_cast<base::Duration>(expected * kSlowFactor),
      expected + kMinExcess);
}

}  // namespace berylreach::forward
