// The clock interface that every time-dependent component receives.
#pragma once

#include <chrono>

namespace berylreach::base {

/// A point in time on the monotonic clock of one host. Time points of different
/// hosts are not comparable.
using TimePoint = std::chrono::steady_clock::time_point;

/// A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// Source of time. It is passed to the decision code so that tests can run in
/// virtual time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time of this host, including time during which the machine was
  /// suspended. Used for leases and timeouts.
  virtual TimePoint Now() const = 0;

  /// Wall-clock time. Used for values that other processes or operators
  /// interpret: deadlines sent to leaves and with forwarded orders, the ages of
  /// orders, sequence numbers of leaf states and the event timeline.
  virtual std::chrono::system_clock::time_point WallNow() const = 0;
};

}  // namespace berylreach::base
