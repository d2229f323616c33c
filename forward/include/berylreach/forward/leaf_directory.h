// The leaves of all services, as discovery lists them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/leaf_record.h"

namespace berylreach::forward {

/// Where this host stands, and which zone belongs to which region.
struct Location {
  std::string zone;
  std::string region;
  std::unordered_map<std::string, std::string> region_of_zone;

  /// The region of a zone; empty if it is not known.
  std::string RegionOf(const std::string& other_zone) const;
  Distance DistanceOf(const std::string& other_zone) const;
};

/// Keeps one record for each leaf incarnation. Entries that vanish while the
/// store is away, or shortly after its return, may only have lapsed: they stay
/// usable until `kReturnGrace` after the return. Not thread-safe.
class LeafDirectory {
 public:
  /// Time after the store's return in which living leaves are listed again.
  static constexpr base::Duration kReturnGrace = std::chrono::milliseconds(
      2500);  // 2 s of the platform and a margin for the delivery

  LeafDirectory(const base::Clock& clock, Location location);

  void Put(LeafEntry entry);
  void Remove(const std::string& id);
  /// A complete listing; leaves that are not in it are removed.
  void Replace(std::vector<LeafEntry> entries);
  /// The zones that take no new calls.
  void SetEvacuatedZones(std::set<std::string> zones);

  /// The leaf has said that it leaves, or that it wants no calls before
  /// `until`. That holds for the incarnation, also if discovery lists it again.
  void MarkLeaving(LeafRecord& leaf);
  void Pause(LeafRecord& leaf, base::TimePoint until);

  void OnStoreLost();
  void OnStoreRegained();
  /// Removes entries whose grace has ended.
  void Tick();

  /// Leaves of a service that may take calls; draining, leaving, gone and
  /// evacuated ones are left out.
  std::vector<std::shared_ptr<LeafRecord>> Usable(
      const std::string& service) const;

  /// Calls `visit` with each of these leaves.
  template <typename Visit>
  void ForEachUsable(const std::string& service, Visit visit) const {
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) return;
    for (const std::shared_ptr<LeafRecord>& leaf : found->second)
      if (IsUsable(*leaf)) visit(leaf);
  }

  std::shared_ptr<LeafRecord> Find(const std::string& id) const;
  std::size_t size() const { return leaves_.size(); }
  /// Number of listed leaves of a service, usable or not.
  std::size_t CountOf(const std::string& service) const;
  /// Number of listed leaves of each zone.
  std::unordered_map<std::string, std::size_t> CountByZone() const;
  /// Changes whenever the set of usable leaves does.
  std::uint64_t generation() const { return generation_; }
  const std::set<std::string>& evacuated_zones() const { return evacuated_; }

 private:
  bool InGrace() const;
  bool IsUsable(const LeafRecord& leaf) const;
  void Erase(const std::string& id);
  /// Keeps what a leaf has said of itself while it is not listed.
  void Remember(const LeafRecord& leaf);
  void Recall(LeafRecord& leaf);

  /// What a leaf that is not listed any more has said of itself.
  struct FormerLeaf {
    std::int64_t started_unix_ms = 0;
    bool leaving = false;
    base::TimePoint paused_until{};
    base::TimePoint forget_at{};
  };

  const base::Clock& clock_;
  Location location_;
  std::unordered_map<std::string, std::shared_ptr<LeafRecord>> leaves_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<LeafRecord>>>
      by_service_;
  std::unordered_map<std::string, FormerLeaf> former_;
  std::set<std::string> evacuated_;
  /// Ids that the store no longer lists but that may only have lapsed.
  std::set<std::string> lapsed_;
  std::uint64_t generation_ = 0;
  bool store_lost_ = false;
  base::TimePoint grace_until_{};
};

}  // namespace berylreach::forward
