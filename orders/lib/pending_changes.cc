// Application of pending changes to a journal.
#include "pending_changes.h"

#include <algorithm>
#include <utility>

#include "record_size.h"

namespace berylreach::orders {

using model::OrderRecord;
using model::OrderState;

void PendingChanges::SetPendingSince(base::TimePoint now) {
  if (!pending_since_) pending_since_ = now;
}

void PendingChanges::SetOutcome(const OrderKey& key, std::uint64_t nonce,
                                OrderState state, std::string outcome,
                                std::uint64_t version, base::TimePoint now) {
  outcomes_[key] = {nonce, state, std::move(outcome), version};
  SetPendingSince(now);
}

void PendingChanges::RaiseIssueTime(const OrderKey& key, WallTime issued_at,
                                    base::TimePoint now) {
  WallTime& pending = issue_times_[key];
  pending = std::max(pending, issued_at);
  SetPendingSince(now);
}

bool PendingChanges::Applies(const Outcome& outcome,
                             const OrderRecord* record) {
  if (record == nullptr || record->nonce != outcome.nonce) return false;
  // An outcome that arrives late replaces a recorded unknown outcome.
  if (record->state == OrderState::kUnknown)
    return outcome.state != OrderState::kUnknown;
  return record->state == OrderState::kClaimed;
}

std::size_t PendingChanges::ApplyTo(JournalView& view, std::size_t max_bytes,
                                    std::size_t limit) const {
  std::size_t applied = 0;
  for (const auto& [key, outcome] : outcomes_) {
    if (applied >= limit) return applied;
    const OrderRecord* current = view.Find(key);
    if (!Applies(outcome, current)) continue;
    OrderRecord record = *current;
    record.state = outcome.state;
    record.version = outcome.version;
    const std::size_t without_result = RecordSizeBound(record);
    record.outcome = outcome.outcome;
    const std::size_t growth = RecordSizeBound(record) - without_result;
    if (view.bytes() + growth > max_bytes) record.outcome.clear();
    view.Put(std::move(record));
    ++applied;
  }
  for (const auto& [key, issued_at] : issue_times_) {
    if (applied >= limit) return applied;
    const OrderRecord* current = view.Find(key);
    if (current == nullptr || current->issued_at >= issued_at) continue;
    OrderRecord record = *current;
    record.issued_at = issued_at;
    view.Put(std::move(record));
    ++applied;
  }
  return applied;
}

void PendingChanges::DropSatisfied(const JournalView& view) {
  std::erase_if(outcomes_, [&](const auto& entry) {
    return !Applies(entry.second, view.Find(entry.first));
  });
  std::erase_if(issue_times_, [&](const auto& entry) {
    const OrderRecord* record = view.Find(entry.first);
    return record == nullptr || record->issued_at >= entry.second;
  });
  if (empty()) pending_since_.reset();
}

}  // namespace berylreach::orders
