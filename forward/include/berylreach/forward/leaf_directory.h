// The leaves of all services as service discovery lists them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"
#include "berylreach/forward/store_return_grace.h"

namespace berylreach::forward {

/// The location of this host, and the region of each zone.
struct Location {
  std::string zone;
  std::string region;
  std::unordered_map<std::string, std::string> region_of_zone;

  /// Returns the region of a zone; empty if the zone is unknown.
  std::string RegionOf(const std::string& other_zone) const;
  Distance DistanceOf(const std::string& other_zone) const;
};

/// Keeps one record for each leaf incarnation. An entry that disappears while
/// the store is unreachable, or shortly after it is reachable again, may have
/// expired although its leaf is alive. Such entries stay usable until
/// kStoreReturnGrace has passed since the store became reachable. For
/// kStoreRestoreGrace after the store has come back from an older copy of
/// itself, entries that are older than what this directory knows of the same
/// leaf are withheld. Not thread-safe.
class LeafDirectory {
 public:
  /// Time within which live leaves are listed again after the store is
  /// reachable again.
  static constexpr base::Duration kStoreReturnGrace = std::chrono::milliseconds(
      2500);  // 2 s of the platform plus a margin for delivery

  /// Time within which leaves have written again what the store has lost, and
  /// within which the entries of leaves that have gone have expired.
  static constexpr std::chrono::milliseconds kStoreRestoreGrace{6000};

  /// Called when an incarnation is listed for the first time.
  using OnListed = std::function<void(const LeafEntry& leaf)>;
  /// Called when an incarnation is no longer listed: `replaced` tells whether
  /// another one has its id.
  using OnUnlisted = std::function<void(const LeafRecord& leaf, bool replaced)>;

  LeafDirectory(const base::Clock& clock, Location location);

  void SetObservers(OnListed on_listed, OnUnlisted on_unlisted) {
    on_listed_ = std::move(on_listed);
    on_unlisted_ = std::move(on_unlisted);
  }

  /// Adds an entry or updates the record of the same incarnation. A new
  /// incarnation with the same id replaces the record.
  void Put(LeafEntry entry);
  /// Removes an entry. An entry that may only have expired is kept until the
  /// grace period is over.
  void Remove(const std::string& id);
  /// Applies a complete listing; leaves that are not in it are removed.
  void Replace(std::vector<LeafEntry> entries);
  /// Sets the zones that get no new calls.
  void SetEvacuatedZones(std::set<std::string> zones);

  /// Record a leaf's own statement that it is leaving, or that it accepts no
  /// calls before `until`. The statement stays in force for this incarnation,
  /// even if discovery lists the leaf again.
  void MarkLeaving(LeafRecord& leaf);
  void Pause(LeafRecord& leaf, base::TimePoint until);
  /// Records the rate limit that a leaf has stated in its latest answer.
  void SetRateLimit(LeafRecord& leaf, std::optional<double> rate);

  /// Record that the store became unreachable, or reachable again.
  void OnStoreLost() { return_grace_.OnStoreLost(); }
  void OnStoreRegained() { return_grace_.OnStoreRegained(); }
  /// Records that the store has come back from an older copy of itself.
  void OnStoreRestored();
  /// Removes expired entries, and applies withheld ones, once their grace
  /// period is over.
  void Tick();

  /// Returns the leaves of a service that may take calls: all but those that
  /// are draining, leaving, removed or in an evacuated zone.
  std::vector<std::shared_ptr<LeafRecord>> Usable(
      const std::string& service) const;

  /// Calls `visit` with each leaf that Usable() would return.
  template <typename Visit>
  void ForEachUsable(const std::string& service, Visit visit) const {
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) return;
    for (const std::shared_ptr<LeafRecord>& leaf : found->second)
      if (IsUsable(*leaf)) visit(leaf);
  }

  /// Calls `visit` with each listed leaf, usable or not.
  template <typename Visit>
  void ForEachListed(Visit visit) const {
    for (const auto& [id, leaf] : leaves_) visit(*leaf);
  }

  /// Returns the record of a listed leaf; null if there is none.
  std::shared_ptr<LeafRecord> Find(const std::string& id) const;
  std::size_t size() const { return leaves_.size(); }
  /// Number of listed leaves of the service, usable or not.
  std::size_t CountOf(const std::string& service) const;
  /// Number of listed leaves by zone.
  std::unordered_map<std::string, std::size_t> CountByZone() const;
  /// Changes whenever the set of usable leaves changes.
  std::uint64_t generation() const { return generation_; }
  const std::set<std::string>& evacuated_zones() const { return evacuated_; }

 private:
  /// Whether an entry is from the copy of the store and older than what is
  /// known of the leaf.
  bool IsOutdated(const LeafEntry& entry) const;
  bool IsUsable(const LeafRecord& leaf) const;
  /// Removes the record and saves what the leaf has stated about itself.
  void Erase(const std::string& id, bool replaced);
  /// Save and restore what a leaf has stated about itself, for the time in
  /// which it is not listed.
  void SaveStatements(const LeafRecord& leaf);
  void RestoreStatements(LeafRecord& leaf);

  /// What a leaf that is no longer listed has stated about itself.
  struct FormerLeaf {
    std::uint64_t started_unix_ms = 0;
    bool leaving = false;
    base::TimePoint paused_until{};
    std::optional<double> rate_limit;
    base::TimePoint forget_at{};
  };

  /// The last entry of a leaf that is no longer listed.
  struct RemovedEntry {
    LeafEntry entry;
    base::TimePoint forget_at{};
  };

  const base::Clock& clock_;
  Location location_;
  OnListed on_listed_;
  OnUnlisted on_unlisted_;
  std::unordered_map<std::string, std::shared_ptr<LeafRecord>> leaves_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<LeafRecord>>>
      by_service_;
  std::unordered_map<std::string, FormerLeaf> former_;
  std::unordered_map<std::string, RemovedEntry> removed_;
  /// Outdated entries by id, which are applied if their leaves have not written
  /// newer ones within kStoreRestoreGrace.
  std::map<std::string, LeafEntry> withheld_;
  std::set<std::string> evacuated_;
  /// Ids that the store no longer lists, but whose entries may only have
  /// expired.
  std::set<std::string> expired_;
  std::uint64_t generation_ = 0;
  StoreReturnGrace return_grace_;
  base::TimePoint restore_grace_until_{};
};

}  // namespace berylreach::forward
