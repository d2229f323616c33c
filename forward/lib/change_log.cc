// Applies changes to the records and bounds the list of recent changes.
#include "berylreach/forward/change_log.h"

#include <algorithm>
#include <utility>

namespace berylreach::forward {
namespace {

/// Maximum number of changes kept for followers. This is more than a
/// repartition of hundreds of shards makes; a follower that is further behind
/// gets all records.
constexpr std::size_t kMaxRecentChanges = 4096;

/// Maximum size of the changes kept for followers. A configuration with many
/// tenants is about 1 MB, and many versions may follow each other quickly. The
/// maximum number of changes of leaves takes about 1 MB.
constexpr std::size_t kMaxRecentBytes = std::size_t{8} * 1024 * 1024;

std::size_t SizeOf(const RecordChange& change) {
  return change.key.size() + (change.value ? change.value->size() : 0);
}

}  // namespace

void ChangeLog::Reset(std::map<std::string, std::string> records,
                      StorePosition position,
                      base::TimePoint acknowledged_after) {
  if (position_.revision != 0 && position.era > position_.era) {
    Append(ChangesTo(records), position, acknowledged_after);
    return;
  }
  records_ = std::move(records);
  recent_.clear();
  recent_bytes_ = 0;
  discarded_through_ = position;
  position_ = position;
}

std::vector<RecordChange> ChangeLog::ChangesTo(
    const std::map<std::string, std::string>& records) const {
  std::vector<RecordChange> changes;
  for (const auto& [key, value] : records_)
    if (!records.contains(key)) changes.push_back({key, std::nullopt});
  for (const auto& [key, value] : records) {
    const auto known = records_.find(key);
    if (known == records_.end() || known->second != value)
      changes.push_back({key, value});
  }
  return changes;
}

void ChangeLog::Append(const std::vector<RecordChange>& changes,
                       StorePosition position,
                       base::TimePoint acknowledged_after) {
  if (position.era > position_.era) {
    end_of_former_era_ = position_;
    start_of_era_ = position;
  }
  for (const RecordChange& change : changes) {
    if (change.value) {
      records_[change.key] = *change.value;
    } else {
      records_.erase(change.key);
    }
    recent_.push_back({position, change, acknowledged_after});
    recent_bytes_ += SizeOf(change);
  }
  position_ = position;
  while (recent_.size() > kMaxRecentChanges ||
         recent_bytes_ > kMaxRecentBytes) {
    discarded_through_ = recent_.front().position;
    recent_bytes_ -= SizeOf(recent_.front().change);
    recent_.pop_front();
  }
}

std::optional<ChangeSet> ChangeLog::Since(StorePosition view) const {
  if (position_.revision == 0 || view >= position_) return std::nullopt;
  ChangeSet set{.position = position_};
  if (!ContinuesFrom(view)) {
    set.is_full_listing = true;
    for (const auto& [key, value] : records_)
      set.changes.push_back({key, value});
    return set;
  }
  for (const LoggedChange& logged : recent_)
    if (logged.position > view) set.changes.push_back(logged.change);
  // The revision may have advanced because of other keys in the store.
  if (set.changes.empty() && view.era == position_.era) return std::nullopt;
  return set;
}

std::optional<base::TimePoint> ChangeLog::AcknowledgedAfter(
    StorePosition view) const {
  if (!ContinuesFrom(view)) return std::nullopt;
  std::optional<base::TimePoint> earliest;
  for (const LoggedChange& logged : recent_)
    if (logged.position > view)
      earliest = std::min(earliest.value_or(logged.acknowledged_after),
                          logged.acknowledged_after);
  return earliest;
}

std::optional<ChangeSet> ChangeLog::ChangesFor(
    const FollowerState& follower) const {
  if (IsBehind(follower)) return std::nullopt;
  return Since(follower.view);
}

std::optional<ChangeSet> ChangeLog::NoChangesFor(
    const FollowerState& follower) const {
  if (IsBehind(follower)) return std::nullopt;
  return ChangeSet{.position = follower.view};
}

bool ChangeLog::ContinuesFrom(StorePosition view) const {
  if (view < discarded_through_) return false;
  if (view.era == position_.era) return view >= start_of_era_;
  return view.era == end_of_former_era_.era && view <= end_of_former_era_;
}

}  // namespace berylreach::forward
