// Event queue of a discrete-event simulation in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::bench {

/// Runs events in order of time, and events of the same time in order of
/// insertion, so that runs with the same seed are identical.
class EventQueue {
 public:
  const base::ManualClock& clock() const { return clock_; }
  base::TimePoint Now() const { return clock_.Now(); }

  void At(base::TimePoint time, std::function<void()> run) {
    events_.push({time, next_sequence_++, std::move(run)});
  }
  void After(base::Duration delay, std::function<void()> run) {
    At(Now() + delay, std::move(run));
  }

  /// Runs the earliest event; returns false if there is none.
  bool RunNext() {
    if (events_.empty()) return false;
    const Event event = events_.top();
    events_.pop();
    clock_.AdvanceTo(event.time);
    event.run();
    return true;
  }

 private:
  struct Event {
    base::TimePoint time;
    std::uint64_t sequence;
    std::function<void()> run;

    /// Reversed, because std::priority_queue returns the largest element first.
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  base::ManualClock clock_;
  std::priority_queue<Event> events_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace berylreach::bench
