// Applies changes to the records and bounds the list of recent changes.
#include "berylreach/forward/change_log.h"

#include <utility>

namespace berylreach::forward {
namespace {

/// Maximum number of changes kept for followers. This is more than a
/// repartition of hundreds of shards makes; a follower that is further behind
/// gets all records.
constexpr std::size_t kMaxRecentChanges = 4096;

}  // namespace

void ChangeLog::Reset(std::map<std::string, std::string> records,
                      std::uint64_t revision) {
  records_ = std::move(records);
  recent_.clear();
  discarded_through_ = revision;
  revision_ = revision;
}

void ChangeLog::Append(const std::vector<RecordChange>& changes,
                       std::uint64_t revision) {
  for (const RecordChange& change : changes) {
    if (change.value) {
      records_[change.key] = *change.value;
    } else {
      records_.erase(change.key);
    }
    recent_.push_back({revision, change});
  }
  revision_ = revision;
  while (recent_.size() > kMaxRecentChanges) {
    discarded_through_ = recent_.front().revision;
    recent_.pop_front();
  }
}

std::optional<ChangeSet> ChangeLog::Since(std::uint64_t revision) const {
  if (revision_ == 0 || revision >= revision_) return std::nullopt;
  ChangeSet set{.revision = revision_};
  if (revision < discarded_through_) {
    set.is_full_listing = true;
    for (const auto& [key, value] : records_)
      set.changes.push_back({key, value});
    return set;
  }
  for (const LoggedChange& logged : recent_)
    if (logged.revision > revision) set.changes.push_back(logged.change);
  // The revision may have advanced because of other keys in the store.
  if (set.changes.empty()) return std::nullopt;
  return set;
}

}  // namespace berylreach::forward
