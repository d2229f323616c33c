// The queue of calls that wait at a leaf gate.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/limits/queued_call.h"
#include "berylreach/model/call_id.h"

namespace berylreach::limits {

/// Calls ordered by priority (lower number first), then deadline, then
/// arrival.
class CallQueue {
 public:
  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }
  bool Contains(const model::CallId& id) const { return keys_.contains(id); }

  void Push(QueuedCall call);

  /// Returns the call to start next; the queue must not be empty.
  const QueuedCall& Front() const { return calls_.begin()->second; }
  /// Removes and returns the call to start next; the queue must not be empty.
  QueuedCall PopFront();

  /// Removes and returns the call that would start last; the queue must not be
  /// empty.
  QueuedCall PopBack();

  /// Removes and returns the call `id`; returns nothing if it is not queued.
  std::optional<QueuedCall> Remove(const model::CallId& id);

  /// Removes and returns all calls for which `predicate(call)` holds. The
  /// predicate is called in queue order.
  template <typename Predicate>
  std::vector<QueuedCall> RemoveIf(Predicate predicate) {
    std::vector<QueuedCall> removed;
    for (auto position = calls_.begin(); position != calls_.end();) {
      const auto next = std::next(position);
      if (predicate(std::as_const(position->second)))
        removed.push_back(Extract(position));
      position = next;
    }
    return removed;
  }

  /// Returns the first call for which `predicate(call)` holds; null if there is
  /// none.
  template <typename Predicate>
  const QueuedCall* FindFirst(Predicate predicate) const {
    for (const auto& [key, call] : calls_) {
      if (predicate(call)) return &call;
    }
    return nullptr;
  }

  /// A canary of `fingerprint` succeeded: the queued canaries of the
  /// fingerprint become ordinary calls.
  void OnProven(std::uint64_t fingerprint);

  /// Returns the earliest deadline; nothing if the queue is empty.
  std::optional<base::TimePoint> EarliestDeadline() const;

  /// Returns the number of calls that start before a new call of `priority`.
  std::size_t CountAhead(std::uint32_t priority) const;

 private:
  struct Key {
    std::uint32_t priority = 0;
    base::TimePoint deadline;
    std::uint64_t sequence = 0;

    friend bool operator<(const Key& a, const Key& b) {
      return std::tie(a.priority, a.deadline, a.sequence) <
             std::tie(b.priority, b.deadline, b.sequence);
    }
  };
  using Map = std::map<Key, QueuedCall>;

  QueuedCall Extract(Map::iterator position);

  Map calls_;
  std::unordered_map<model::CallId, Key> keys_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace berylreach::limits
