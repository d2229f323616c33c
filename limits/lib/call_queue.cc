// Ordering of the calls that wait for a leaf by priority, deadline and arrival.
#include "berylreach/limits/call_queue.h"

#include <algorithm>
#include <iterator>

namespace berylreach::limits {

void CallQueue::Push(QueuedCall call) {
  const Key key{call.call.priority, call.deadline, next_sequence_++};
  keys_.emplace(call.call.id, key);
  calls_.emplace(key, std::move(call));
}

QueuedCall CallQueue::Extract(Map::iterator position) {
  QueuedCall call = std::move(position->second);
  keys_.erase(call.call.id);
  calls_.erase(position);
  return call;
}

QueuedCall CallQueue::PopFront() { return Extract(calls_.begin()); }

QueuedCall CallQueue::PopBack() { return Extract(std::prev(calls_.end())); }

std::optional<QueuedCall> CallQueue::Remove(const model::CallId& id) {
  const auto key = keys_.find(id);
  if (key == keys_.end()) return std::nullopt;
  return Extract(calls_.find(key->second));
}

void CallQueue::OnProven(std::uint64_t fingerprint) {
  for (auto& [key, call] : calls_) {
    if (call.call.fingerprint == fingerprint) call.call.canary = false;
  }
}

std::optional<base::TimePoint> CallQueue::EarliestDeadline() const {
  std::optional<base::TimePoint> earliest;
  for (const auto& [key, call] : calls_) {
    if (!earliest || key.deadline < *earliest) earliest = key.deadline;
  }
  return earliest;
}

std::size_t CallQueue::CountAhead(std::uint32_t priority) const {
  const Key end{priority, base::TimePoint::max(), ~std::uint64_t{0}};
  return static_cast<std::size_t>(
      std::distance(calls_.begin(), calls_.upper_bound(end)));
}

}  // namespace berylreach::limits
