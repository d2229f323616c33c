// Bounded queue with one entry for each fingerprint and a rate limit.
#include "berylreach/forward/suspect_queue.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

using model::SuspectEntry;
using model::SuspectState;

bool IsBlocked(const SuspectEntry& entry) {
  return entry.state == SuspectState::kBlocked;
}

}  // namespace

void SuspectQueue::Put(const SuspectEntry& entry) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(entry.fingerprint)) {
    if (!IsBlocked(entry)) return;
    const auto droppable =
        std::find_if(entries_.begin(), entries_.end(),
                     [](const auto& item) { return !IsBlocked(item.second); });
    if (droppable == entries_.end()) return;
    entries_.erase(droppable);
  }
  SuspectEntry& queued = entries_[entry.fingerprint];
  // A mere suspicion must not replace a crash that is still to be sent.
  if (entry.crashes == 0 && queued.crashes > 0) return;
  queued = entry;
}

std::optional<SuspectEntry> SuspectQueue::Take() {
  const base::TimePoint now = clock_.Now();
  if (entries_.empty() || now < *NextWriteAt()) return std::nullopt;
  const auto blocked =
      std::find_if(entries_.begin(), entries_.end(),
                   [](const auto& item) { return IsBlocked(item.second); });
  const auto next = blocked == entries_.end() ? entries_.begin() : blocked;
  const SuspectEntry entry = next->second;
  entries_.erase(next);
  next_spaced_write_ = std::max(next_spaced_write_, now) + kInterval;
  return entry;
}

void SuspectQueue::Requeue(const SuspectEntry& entry) {
  if (!entries_.contains(entry.fingerprint)) Put(entry);
}

std::optional<base::TimePoint> SuspectQueue::NextWriteAt() const {
  if (entries_.empty()) return std::nullopt;
  return next_spaced_write_ - (kBurst - 1) * kInterval;
}

}  // namespace berylreach::forward
