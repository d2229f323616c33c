// Random service times of the simulated leaves.
#pragma once

#include <cstdint>
#include <random>

#include "berylreach/base/clock.h"

namespace berylreach::bench {

/// Draws from a lognormal distribution (median 10 ms, sigma 0.35). With
/// stragglers, 1% of the calls take 10 times as long.
class ServiceTimes {
 public:
  ServiceTimes(std::uint64_t seed, bool stragglers)
      : stragglers_(stragglers), random_(seed) {}

  base::Duration Draw();

  /// Returns the mean with stragglers.
  static double MeanSeconds();

 private:
  bool stragglers_;
  std::mt19937_64 random_;
};

}  // namespace berylreach::bench
