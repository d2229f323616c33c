// The clock of the operating system.
#pragma once

#include <time.h>  // NOLINT(modernize-deprecated-headers): clock_gettime is POSIX.

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Reads the operating system's clocks. The monotonic clock includes the time
/// during which the machine is suspended, because leases of other hosts expire
/// and connections break meanwhile; timers of the operating system do not
/// include that time. Thread-safe.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  }
  std::chrono::system_clock::time_point WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace berylreach::base
