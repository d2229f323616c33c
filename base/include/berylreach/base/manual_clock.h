// A clock for tests that advances only by explicit calls.
#pragma once

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Clock in virtual time: monotonic and wall-clock time advance together, by
/// explicit steps only. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  std::chrono::system_clock::time_point WallNow() const override {
    // A fixed start date (2026-01-01 00:00 UTC) plus the elapsed virtual time.
    return std::chrono::system_clock::time_point(
               std::chrono::seconds(1767225600)) +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               now_.time_since_epoch());
  }

  /// Advances both clocks by `step`.
  void Advance(Duration step) { now_ += step; }

  /// Advances both clocks to `now`, which must not be earlier than Now().
  void AdvanceTo(TimePoint now) { now_ = now; }

 private:
  TimePoint now_{};
};

}  // namespace berylreach::base
