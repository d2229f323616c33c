// The clock of the operating system.
#pragma once

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Reads the operating system's monotonic and wall clocks. Thread-safe.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  std::chrono::system_clock::time_point WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace berylreach::base
