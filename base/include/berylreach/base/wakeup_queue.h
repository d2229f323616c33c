// A timer queue for many state machines.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "berylreach/base/clock.h"

namespace berylreach::base {

/// Holds at most one wake-up time per id, ordered by time, so that the ids
/// whose time has come are found without visiting every state machine.
template <typename Id>
class WakeupQueue {
 public:
  /// Sets or changes the wake-up time of `id`; nullopt removes it.
  void Set(const Id& id, std::optional<TimePoint> time) {
    const auto found = times_.find(id);
    if (found != times_.end()) {
      if (time && *time == found->second) return;
      order_.erase({found->second, id});
      times_.erase(found);
    }
    if (!time) return;
    times_.emplace(id, *time);
    order_.emplace(*time, id);
  }

  /// The earliest wake-up time; nullopt if the queue is empty.
  std::optional<TimePoint> Earliest() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first;
  }

  /// Removes and returns the id with the earliest wake-up time; nullopt if that
  /// time is after `now` or the queue is empty.
  std::optional<Id> PopDue(TimePoint now) {
    if (order_.empty() || order_.begin()->first > now) return std::nullopt;
    const Id id = order_.begin()->second;
    order_.erase(order_.begin());
    times_.erase(id);
    return id;
  }

 private:
  std::set<std::pair<TimePoint, Id>> order_;
  std::unordered_map<Id, TimePoint> times_;
};

}  // namespace berylreach::base
