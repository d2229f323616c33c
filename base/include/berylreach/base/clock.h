// The clock interface that every time-dependent component receives.
#pragma once

#include <chrono>

namespace berylreach::base {

/// A point on the host's own monotonic clock. Points of two hosts are not
/// comparable.
using TimePoint = std::chrono::steady_clock::time_point;

/// A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// Source of time. Decision code receives it so that tests can run in virtual
/// time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time of this host, suspended time included; leases and timeouts
  /// use it.
  virtual TimePoint Now() const = 0;

  /// Wall-clock time; only deadlines sent to leaves, order ages and the time
  /// line use it.
  virtual std::chrono::system_clock::time_point WallNow() const = 0;
};

}  // namespace berylreach::base
