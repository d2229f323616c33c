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

/// Divides the shards of scattering requests among hosts. Shards without a
/// leaf in this region are run by a host of a region that has them, because one
/// merged answer then crosses regions instead of one answer a shard. In a large
/// fleet a few hosts of each region, its coordinators, run slices of the
/// shards, because the leaves accept too few connections for all hosts, or
/// because small hosts would take too long over the many parts. A shard is
/// always in the slice of the same hosts, so that their connections to its
/// leaves are in use. Hosts hold connections to the hosts of their plans, which
/// are made ahead of the requests. Not thread-safe.
class ShardPlanner {
 public:
  /// The arguments must outlive the planner.
  ShardPlanner(const base::Clock& clock, std::string self, Location location,
               const LeafDirectory& directory, const LeafSelector& selector,
               ServiceShares& shares);

  /// All hosts of the deployment.
  void SetHosts(std::vector<HostEntry> hosts);
  /// Tells whether a host can be reached without opening a connection. Others
  /// are passed over while one of these can run the slice, so that no request
  /// waits to find out whether a lost host is back.
  void SetReachable(std::function<bool(const LeafRecord&)> reachable) {
    reachable_ = std::move(reachable);
  }

  /// The groups that other hosts run; this host runs the shards that are in
  /// none of them. `seed` spreads requests over equal hosts.
  std::vector<ShardGroup> Divide(const RouteTable& table, const Route& route,
                                 std::uint64_t seed);

  /// Brings the plan of one route up to date, so that the connections that it
  /// needs can be opened before a request comes. Repeated calls go through all
  /// routes.
  void PlanAhead(const RouteTable& table);

  /// Calls `visit` with the record of each host to which this one holds a
  /// connection, as the present plans name them.
  template <typename Visit>
  void ForEachLinkedHost(Visit visit) const {
    for (const auto& [name, record] : LinkedHosts()) visit(*record);
  }

  /// Whether `host` is another host of the deployment.
  bool IsKnownHost(const std::string& host) const {
    return records_.contains(host);
  }

  /// Names of all hosts, and the record of another one; null if it is not
  /// known.
  std::vector<std::string> HostNames() const;
  std::shared_ptr<LeafRecord> Find(const std::string& host) const;

  /// Hosts of a region that run requests, best first.
  std::vector<std::string> Coordinators(const std::string& region) const;

 private:
  using HostRecords = std::vector<std::shared_ptr<LeafRecord>>;
  using HostRecordsByName = std::map<std::string, std::shared_ptr<LeafRecord>>;

  /// Shards that go to one of some hosts (see SliceHosts).
  struct Slice {
    std::vector<std::size_t> shards;
    HostRecords primaries;
    HostRecords backups;
    HostRecords others;
  };
  struct Plan {
    std::uint64_t generation = 0;
    std::vector<Slice> slices;
  };
  /// Hosts of each slice of a region.
  using RegionSlices = std::vector<std::vector<std::string>>;

  const Plan& CurrentPlan(const RouteTable& table, const Route& route);
  Plan MakePlan(const RouteTable& table, const Route& route) const;
  std::map<std::string, std::vector<std::size_t>> ShardsByRegion(
      const Route& route) const;
  void AddSlices(const std::string& region, const Route& route,
                 const std::vector<std::size_t>& shards, Plan& plan) const;
  RegionSlices SlicesOf(const std::string& region, const Route& route) const;
  std::set<std::string> HostRegions() const;
  /// Regions with a leaf of the service.
  std::set<std::string> LeafRegions(const std::string& service) const;
  /// Tells who calls the leaves of the route's shards.
  void ShareServices(const Route& route);
  HostRecords RecordsOf(const std::vector<std::string>& names) const;
  HostRecordsByName LinkedHosts() const;
  /// The host that runs the slice, and the one that repeats it.
  ShardGroup ChooseHosts(const Slice& slice, std::uint64_t seed) const;
  /// The best of `hosts`, or of those that `reachable_` names if `reachable`;
  /// null if there is none.
  std::shared_ptr<LeafRecord> Best(const HostRecords& hosts, std::uint64_t seed,
                                   bool reachable) const;
  bool FewConnections(const RouteTable& table, const Route& route) const;
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
  /// By name of the route.
  std::unordered_map<std::string, Plan> plans_;
  /// Version of the configuration whose routes have plans.
  std::uint64_t planned_version_ = 0;
  /// The route that PlanAhead visits next.
  std::size_t next_planned_ = 0;
};

}  // namespace berylreach::forward
