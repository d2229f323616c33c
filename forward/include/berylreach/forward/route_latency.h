// Estimate of the time that the leaf calls of one route take.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// The smoothed time of a route's calls at all leaves that answered them,
/// without the time on the way to distant leaves. Routes of one service may
/// differ in work by a factor of 20, so a leaf's latency for one route says
/// little about another one. Not thread-safe.
class RouteLatency {
 public:
  /// Records that a leaf has answered a call after `time`, less the time on the
  /// way.
  void OnAnswer(base::Duration time);

  /// Whether there are enough samples for an estimate.
  bool is_known() const { return samples_ >= kMinSamples; }
  base::Duration mean() const { return mean_; }
  base::Duration deviation() const { return deviation_; }
  std::uint64_t samples() const { return samples_; }

 private:
  /// Fewer answers may all be from one slow or fast leaf.
  static constexpr std::uint64_t kMinSamples = 4;

  base::Duration mean_{0};
  base::Duration deviation_{0};
  std::uint64_t samples_ = 0;
};

}  // namespace berylreach::forward
