// Storage, expiry and size accounting of the known records of a journal.
#include "journal_view.h"

#include <algorithm>
#include <utility>

#include "record_size.h"

namespace berylreach::orders {

void JournalView::Assign(model::OrderJournal journal) {
  records_.clear();
  bytes_ = 0;
  next_expiry_ = WallTime::max();
  for (model::OrderRecord& record : journal.records) Put(std::move(record));
}

const model::OrderRecord* JournalView::Find(const OrderKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

void JournalView::Put(model::OrderRecord record) {
  next_expiry_ = std::min(next_expiry_, record.issued_at + kRecordLifetime);
  const std::size_t size = RecordSizeBound(record);
  const auto [entry, added] =
      records_.try_emplace(OrderKey{record.service, record.key});
  if (!added) bytes_ -= RecordSizeBound(entry->second);
  entry->second = std::move(record);
  bytes_ += size;
}

std::size_t JournalView::Expire(WallTime now) {
  if (now < next_expiry_) return 0;
  std::size_t expired = 0;
  next_expiry_ = WallTime::max();
  for (auto entry = records_.begin(); entry != records_.end();) {
    const auto current = entry++;
    const WallTime expiry = current->second.issued_at + kRecordLifetime;
    if (now < expiry) {
      next_expiry_ = std::min(next_expiry_, expiry);
      continue;
    }
    bytes_ -= RecordSizeBound(current->second);
    records_.erase(current);
    ++expired;
  }
  return expired;
}

model::OrderJournal JournalView::ToJournal() const {
  model::OrderJournal journal;
  journal.records.reserve(records_.size());
  for (const auto& [key, record] : records_) journal.records.push_back(record);
  return journal;
}

}  // namespace berylreach::orders
