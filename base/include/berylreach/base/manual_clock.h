// A clock for tests that moves only when told to.
#pragma once

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Virtual time: monotonic and wall time advance together by explicit steps.
/// Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  std::chrono::system_clock::time_point WallNow() const override {
    // An arbitrary fixed date (2026-01-01) plus the elapsed virtual time.
    return std::chrono::system_clock::time_point(
               std::chrono::seconds(1767225600)) +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               now_.time_since_epoch());
  }

  /// Moves both clocks forward by `step`.
  void Advance(Duration step) { now_ += step; }

  /// Moves both clocks to `now`, which must not lie in the past.
  void AdvanceTo(TimePoint now) { now_ = now; }

 private:
  TimePoint now_{};
};

}  // namespace berylreach::base
