// Virtual time for the benchmark.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::bench {

// Runs events in order of time; those of one moment in order of insertion, so
// that a seed always gives the same run.
class EventQueue {
 public:
  const base::ManualClock& clock() const { return clock_; }
  base::TimePoint Now() const { return clock_.Now(); }

  void At(base::TimePoint when, std::function<void()> run) {
    events_.push({when, next_++, std::move(run)});
  }
  void After(base::Duration delay, std::function<void()> run) {
    At(Now() + delay, std::move(run));
  }

  // Runs the earliest event; returns false if there is none.
  bool RunNext() {
    if (events_.empty()) return false;
    const Event event = events_.top();
    events_.pop();
    clock_.AdvanceTo(event.when);
    event.run();
    return true;
  }

 private:
  struct Event {
    base::TimePoint when;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  base::ManualClock clock_;
  std::priority_queue<Event> events_;
  std::uint64_t next_ = 0;
};

}  // namespace berylreach::bench
