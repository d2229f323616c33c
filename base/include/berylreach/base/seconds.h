// Conversion between durations of the clock and fractions of seconds.
#pragma once

#include <chrono>

#include "berylreach/base/clock.h"

namespace berylreach::base {

inline double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace berylreach::base
