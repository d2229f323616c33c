// Indexes the records of leaves by id and by service.
#include "berylreach/forward/leaf_directory.h"

#include <algorithm>
#include <utility>

namespace berylreach::forward {
namespace {

/// Time for which the statements of a removed leaf are kept. An outdated read
/// of the store may list the leaf again within this time.
constexpr std::chrono::minutes kFormerLeafLifetime{10};

/// Time for which the entry of a removed leaf is kept. A store that comes back
/// from a copy of some seconds ago may list it again.
constexpr std::chrono::seconds kRemovedEntryLifetime{60};

/// Whether `entry` was written before `known`, an entry with the same id.
bool IsOlder(const LeafEntry& entry, const LeafEntry& known) {
  if (entry.started_unix_ms != known.started_unix_ms)
    return entry.started_unix_ms != 0 &&
           entry.started_unix_ms < known.started_unix_ms;
  return entry.sequence < known.sequence;
}

/// Whether two entries with the same id describe the same process.
bool SameIncarnation(const LeafEntry& a, const LeafEntry& b) {
  const bool same_start = a.started_unix_ms == b.started_unix_ms ||
                          a.started_unix_ms == 0 || b.started_unix_ms == 0;
  return same_start && a.service == b.service && a.address == b.address &&
         a.zone == b.zone;
}

}  // namespace

std::string Location::RegionOf(const std::string& other_zone) const {
  const auto found = region_of_zone.find(other_zone);
  return found == region_of_zone.end() ? "" : found->second;
}

Distance Location::DistanceOf(const std::string& other_zone) const {
  if (other_zone == zone) return Distance::kSameZone;
  const std::string other_region = RegionOf(other_zone);
  if (!other_region.empty() && other_region == region)
    return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

LeafDirectory::LeafDirectory(const base::Clock& clock, Location location)
    : clock_(clock),
      location_(std::move(location)),
      return_grace_(clock, kStoreReturnGrace) {}

void LeafDirectory::Put(LeafEntry entry) {
  if (IsOutdated(entry)) {
    withheld_[entry.id] = std::move(entry);
    return;
  }
  withheld_.erase(entry.id);
  expired_.erase(entry.id);
  const auto found = leaves_.find(entry.id);
  if (found != leaves_.end()) {
    const LeafEntry& known = found->second->entry();
    if (SameIncarnation(known, entry)) {
      if (known.draining != entry.draining) ++generation_;
      found->second->Update(std::move(entry), clock_.Now());
      return;
    }
    Erase(entry.id, /*replaced=*/true);
  }
  auto record = std::make_shared<LeafRecord>(
      entry, location_.DistanceOf(entry.zone), location_.RegionOf(entry.zone),
      clock_.Now());
  RestoreStatements(*record);
  ++generation_;
  by_service_[entry.service].push_back(record);
  leaves_.emplace(entry.id, std::move(record));
  if (on_listed_) on_listed_(entry);
}

bool LeafDirectory::IsOutdated(const LeafEntry& entry) const {
  if (clock_.Now() >= restore_grace_until_) return false;
  const auto known = leaves_.find(entry.id);
  if (known != leaves_.end()) return IsOlder(entry, known->second->entry());
  const auto removed = removed_.find(entry.id);
  return removed != removed_.end() && !IsOlder(removed->second.entry, entry);
}

void LeafDirectory::Remove(const std::string& id) {
  withheld_.erase(id);
  if (!leaves_.contains(id)) return;
  if (return_grace_.IsActive()) {
    expired_.insert(id);
    return;
  }
  Erase(id, /*replaced=*/false);
}

void LeafDirectory::Replace(std::vector<LeafEntry> entries) {
  withheld_.clear();
  std::set<std::string> listed;
  for (LeafEntry& entry : entries) {
    listed.insert(entry.id);
    Put(std::move(entry));
  }
  std::vector<std::string> missing;
  for (const auto& [id, record] : leaves_)
    if (!listed.contains(id)) missing.push_back(id);
  for (const std::string& id : missing) Remove(id);
}

void LeafDirectory::SetEvacuatedZones(std::set<std::string> zones) {
  if (evacuated_ != zones) ++generation_;
  evacuated_ = std::move(zones);
}

void LeafDirectory::MarkLeaving(LeafRecord& leaf) {
  leaf.MarkLeaving();
  ++generation_;
  if (leaf.removed()) SaveStatements(leaf);
}

void LeafDirectory::Pause(LeafRecord& leaf, base::TimePoint until) {
  leaf.PauseUntil(until);
  if (leaf.removed()) SaveStatements(leaf);
}

void LeafDirectory::SetRateLimit(LeafRecord& leaf, std::optional<double> rate) {
  leaf.SetRateLimit(rate);
  if (leaf.removed()) SaveStatements(leaf);
}

void LeafDirectory::SaveStatements(const LeafRecord& leaf) {
  const base::TimePoint now = clock_.Now();
  if (!leaf.leaving() && !leaf.IsPaused(now) && !leaf.rate_limit()) return;
  former_[leaf.entry().id] = {.started_unix_ms = leaf.entry().started_unix_ms,
                              .leaving = leaf.leaving(),
                              .paused_until = leaf.paused_until(),
                              .rate_limit = leaf.rate_limit(),
                              .forget_at = now + kFormerLeafLifetime};
}

void LeafDirectory::RestoreStatements(LeafRecord& leaf) {
  const auto former = former_.find(leaf.entry().id);
  if (former == former_.end()) return;
  if (former->second.started_unix_ms != leaf.entry().started_unix_ms) return;
  if (former->second.leaving) leaf.MarkLeaving();
  leaf.PauseUntil(former->second.paused_until);
  leaf.SetRateLimit(former->second.rate_limit);
}

void LeafDirectory::OnStoreRestored() {
  return_grace_.OnStoreRestored();
  restore_grace_until_ = clock_.Now() + kStoreRestoreGrace;
}

void LeafDirectory::Tick() {
  const base::TimePoint now = clock_.Now();
  std::erase_if(removed_, [now](const auto& removed) {
    return removed.second.forget_at <= now;
  });
  if (now >= restore_grace_until_) {
    for (auto& [id, entry] : std::exchange(withheld_, {}))
      Put(std::move(entry));
  }
  std::erase_if(former_, [now](const auto& former) {
    return former.second.forget_at <= now;
  });
  if (return_grace_.IsActive() || expired_.empty()) return;
  for (const std::string& id : std::exchange(expired_, {}))
    Erase(id, /*replaced=*/false);
}

void LeafDirectory::Erase(const std::string& id, bool replaced) {
  const auto found = leaves_.find(id);
  if (found == leaves_.end()) return;
  const std::shared_ptr<LeafRecord> record = found->second;
  leaves_.erase(found);
  ++generation_;
  record->MarkRemoved();
  SaveStatements(*record);
  if (!replaced)
    removed_[id] = {.entry = record->entry(),
                    .forget_at = clock_.Now() + kRemovedEntryLifetime};
  std::erase(by_service_[record->entry().service], record);
  if (on_unlisted_) on_unlisted_(*record, replaced);
}

std::size_t LeafDirectory::CountOf(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? 0 : found->second.size();
}

bool LeafDirectory::IsUsable(const LeafRecord& leaf) const {
  return !leaf.removed() && !leaf.leaving() && !leaf.entry().draining &&
         !evacuated_.contains(leaf.entry().zone);
}

std::vector<std::shared_ptr<LeafRecord>> LeafDirectory::Usable(
    const std::string& service) const {
  std::vector<std::shared_ptr<LeafRecord>> usable;
  ForEachUsable(service,
                [&usable](const auto& leaf) { usable.push_back(leaf); });
  return usable;
}

std::shared_ptr<LeafRecord> LeafDirectory::Find(const std::string& id) const {
  const auto found = leaves_.find(id);
  return found == leaves_.end() ? nullptr : found->second;
}

std::unordered_map<std::string, std::size_t> LeafDirectory::CountByZone()
    const {
  std::unordered_map<std::string, std::size_t> counts;
  for (const auto& [id, leaf] : leaves_) ++counts[leaf->entry().zone];
  return counts;
}

}  // namespace berylreach::forward
