// Task queue that drives the virtual time of a test.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "berylreach/base/manual_clock.h"

namespace berylreach::testing {

/// Runs tasks by time, and tasks of equal time in the order in which they were
/// scheduled. Sets the clock to the time of each task before it runs.
class EventQueue {
 public:
  explicit EventQueue(base::ManualClock& clock) : clock_(clock) {}

  /// Schedules `task` for `time`, or for the current time if `time` has passed.
  void At(base::TimePoint time, std::function<void()> task) {
    tasks_.emplace(std::make_pair(std::max(time, clock_.Now()), ++sequence_),
                   std::move(task));
  }
  void After(base::Duration delay, std::function<void()> task) {
    At(clock_.Now() + delay, std::move(task));
  }

  /// Runs all tasks up to and including `end`, then sets the clock to `end`.
  void RunUntil(base::TimePoint end) {
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      clock_.AdvanceTo(node.key().first);
      node.mapped()();
    }
    clock_.AdvanceTo(end);
  }

  base::TimePoint Now() const { return clock_.Now(); }

 private:
  base::ManualClock& clock_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      tasks_;
};

}  // namespace berylreach::testing
