// Virtual time for simulations: functions that run at set times of a clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs functions at set times of a manual clock, in the order of these times.
class VirtualTime {
 public:
  base::ManualClock& clock() { return clock_; }
  base::TimePoint Now() const { return clock_.Now(); }

  void After(base::Duration delay, std::function<void()> run) {
    events_.emplace(clock_.Now() + std::max(delay, base::Duration::zero()),
                    std::move(run));
  }

  void RunFor(base::Duration duration) {
    const base::TimePoint end = clock_.Now() + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      clock_.Advance(event.key() - clock_.Now());
      event.mapped()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  base::ManualClock clock_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
};

}  // namespace berylreach::forward
