// Decides which hosts run which shards of a request.
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

#include "berylreach/forward/configuration.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/leaf_selector.h"
#include "berylreach/forward/route_table.h"
#include "berylreach/forward/service_shares.h"
#include "berylreach/forward/shard_group.h"

namespace berylreach::forward {

/// Divides the shards of scattering requests among hosts.
///
/// Shards without a leaf in this region are run by a host of a region that has
/// such leaves, because one merged answer then crosses regions instead of one
/// answer for each shard. In a large fleet, a few hosts of each region, its
/// coordinators, run slices of the shards, because the leaves accept too few
/// connections for all hosts, or because a small host would take too long to
/// call all shards itself.
///
/// A shard always belongs to the same slice, which the same few hosts run, so
/// that the connections of these hosts to the shard's leaves are reused. This
/// host keeps connections to the hosts in its plans, which are made before the
/// requests arrive. Not thread-safe.
class ShardPlanner {
 public:
  /// The arguments must outlive the planner.
  ShardPlanner(const base::Clock& clock, std::string self, Location location,
               const LeafDirectory& directory, const LeafSelector& selector,
               ServiceShares& shares);

  /// Sets all hosts of the deployment.
  void SetHosts(std::vector<HostEntry> hosts);
  /// Sets the predicate for hosts that can be reached without opening a
  /// connection. Other hosts are used only if none of these can run the slice,
  /// so that no request waits for a connection to a host that may still be
  /// down.
  void SetReachable(std::function<bool(const LeafRecord&)> reachable) {
    reachable_ = std::move(reachable);
  }

  /// Returns the groups that other hosts run; this host runs the remaining
  /// shards. `seed` selects among equally good hosts, to spread the requests
  /// over them.
  std::vector<ShardGroup> Divide(const RouteTable& table, const Route& route,
                                 std::uint64_t seed);

  /// Updates the plan of one route, so that the connections that the plan needs
  /// can be opened before a request arrives. Repeated calls go through all
  /// routes.
  void PlanAhead(const RouteTable& table);

  /// Updates the plan for a set of shards that `route` of `table` will change
  /// to, beside the plan for the set in use. Returns the shards that this host
  /// would call itself, by position.
  std::vector<std::size_t> PlanPending(const RouteTable& table,
                                       const Route& route);

  /// Calls `visit` with the record of each host in the current plans; this host
  /// keeps a connection to each of them.
  template <typename Visit>
  void ForEachLinkedHost(Visit visit) const {
    for (const auto& [name, record] : LinkedHosts()) visit(*record);
  }

  /// Whether `host` is another host of the deployment.
  bool IsKnownHost(const std::string& host) const {
    return records_.contains(host);
  }

  /// Names of all hosts of the deployment.
  std::vector<std::string> HostNames() const;
  /// Returns the record of another host; null if the host is unknown.
  std::shared_ptr<LeafRecord> Find(const std::string& host) const;

  /// Returns the coordinators of a region, best first.
  std::vector<std::string> Coordinators(const std::string& region) const;

 private:
  using HostRecords = std::vector<std::shared_ptr<LeafRecord>>;
  using HostRecordsByName = std::map<std::string, std::shared_ptr<LeafRecord>>;

  /// Shards that are run together by one of several hosts (see SliceHosts).
  struct Slice {
    std::vector<std::size_t> shards;
    HostRecords primaries;
    HostRecords backups;
    HostRecords fallbacks;
  };
  /// The slices of a route that other hosts run, for one set of shards and one
  /// generation of hosts and leaves.
  struct Plan {
    std::uint64_t generation = 0;
    std::vector<std::string> shards;
    std::vector<Slice> slices;
  };
  /// The hosts of each slice of a region.
  using RegionSlices = std::vector<std::vector<std::string>>;

  /// Returns the plan of the route, which is made again if the hosts, the
  /// leaves or the configuration have changed.
  const Plan& CurrentPlan(const RouteTable& table, const Route& route);
  /// Drops all plans if they belong to another version of the configuration.
  void StartVersion(const RouteTable& table);
  /// Makes the plan again if the hosts, the leaves or the shards have changed.
  void UpdatePlan(const RouteTable& table, const Route& route, Plan& plan);
  Plan MakePlan(const RouteTable& table, const Route& route) const;
  /// Assigns each shard to the region whose hosts run it.
  std::map<std::string, std::vector<std::size_t>> ShardsByRegion(
      const Route& route) const;
  /// Adds the slices of `shards` that other hosts of `region` run.
  void AddSlices(const std::string& region, const Route& route,
                 const std::vector<std::size_t>& shards, Plan& plan) const;
  /// Divides the region's coordinators among the slices of the route.
  RegionSlices SlicesOf(const std::string& region, const Route& route) const;
  std::set<std::string> HostRegions() const;
  /// Returns the regions that have a usable leaf of the service.
  std::set<std::string> LeafRegions(const std::string& service) const;
  /// Tells `shares_` which hosts call the leaves of the route's shards.
  void UpdateServiceShares(const Route& route);
  HostRecords RecordsOf(const std::vector<std::string>& names) const;
  HostRecordsByName LinkedHosts() const;
  /// Selects the host that runs the slice, and the host that takes over if the
  /// first one is lost.
  ShardGroup ChooseHosts(const Slice& slice, std::uint64_t seed) const;
  /// Returns the host with the lowest expected latency, only among those that
  /// `reachable_` accepts if `reachable` is set; null if there is none.
  std::shared_ptr<LeafRecord> BestHost(const HostRecords& hosts,
                                       std::uint64_t seed,
                                       bool reachable) const;
  bool HasScarceConnections(const RouteTable& table, const Route& route) const;
  /// Whether calling this many shards would take this host's processor too
  /// long.
  bool IsSlowHere(const Route& route, std::size_t shards) const;

  const base::Clock& clock_;
  std::string self_;
  Location location_;
  const LeafDirectory& directory_;
  const LeafSelector& selector_;
  ServiceShares& shares_;
  std::function<bool(const LeafRecord&)> reachable_ = [](const LeafRecord&) {
    return true;
  };
  std::vector<HostEntry> hosts_;
  HostRecordsByName records_;
  std::uint64_t generation_ = 0;
  /// Plans by route name.
  std::unordered_map<std::string, Plan> plans_;
  /// Plans by route name for sets of shards that are not in use yet.
  std::unordered_map<std::string, Plan> pending_plans_;
  /// Version of the configuration to which the plans belong.
  std::uint64_t planned_version_ = 0;
  /// Count from which PlanAhead derives the index of the next route.
  std::size_t next_planned_ = 0;
};

}  // namespace berylreach::forward
