// Service times of the modelled leaves.
#pragma once

#include <cstdint>
#include <random>

#include "berylreach/base/clock.h"

namespace berylreach::bench {

// Lognormal times (median 10 ms, sigma 0.35); a hundredth of the calls takes
// ten times as long.
class ServiceTimes {
 public:
  ServiceTimes(std::uint64_t seed, bool stragglers)
      : stragglers_(stragglers), random_(seed) {}

  base::Duration Draw();

  // Mean with stragglers.
  static double MeanSeconds();

 private:
  bool stragglers_;
  std::mt19937_64 random_;
};

}  // namespace berylreach::bench
