// A clock that tests advance independently of the event loop's timers.
#pragma once

#include "berylreach/base/system_clock.h"

namespace berylreach::gateway {

/// The system clock plus an offset that the test advances, like the clock of a
/// machine that was suspended.
class OffsetClock : public base::Clock {
 public:
  base::TimePoint Now() const override { return clock_.Now() + offset_; }
  std::chrono::system_clock::time_point WallNow() const override {
    return clock_.WallNow() + offset_;
  }
  void Advance(base::Duration span) { offset_ += span; }

 private:
  base::SystemClock clock_;
  base::Duration offset_{0};
};

}  // namespace berylreach::gateway
