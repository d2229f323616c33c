// A clock that tests move forward beside the timers of the event loop.
#pragma once

#include "berylreach/base/system_clock.h"

namespace berylreach::gateway {

/// The system's clock, moved forward by the test as a suspended machine's is.
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
