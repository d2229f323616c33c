// Decides which hosts run which shards of a request.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/forward/configuration.h"
#include "berylreach/forward/host_entry.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/leaf_selector.h"
#include "berylreach/forward/route_table.h"
#include "berylreach/forward/shard_group.h"

namespace berylreach::forward {

/// Divides the shards of scattering requests among hosts. Shards without a
/// leaf in this region are run by a host of a region that has them, because one
/// merged answer then crosses regions instead of one answer a shard. In a large
/// fleet a few hosts of each region, its coordinators, run slices of the
/// shards, because the leaves accept too few connections for all hosts, or
/// because small hosts would take too long over the many parts. A shard is
/// always in the slice of the same hosts, so that their connections to its
/// leaves are in use. Not thread-safe.
class ShardPlanner {
 public:
  /// The arguments must outlive the planner.
  ShardPlanner(const base::Clock& clock, std::string self, Location location,
               const LeafDirectory& directory, const LeafSelector& selector);

  /// All hosts of the deployment.
  void SetHosts(std::vector<HostEntry> hosts);

  /// The groups that other hosts run; this host runs the shards that are in
  /// none of them. `seed` spreads requests over equal hosts.
  std::vector<ShardGroup> Divide(const RouteTable& table, const Route& route,
                                 std::uint64_t seed);

  /// Whether `host` is another host of the deployment.
  bool Knows(const std::string& host) const { return records_.contains(host); }

  /// Coordinators of all regions.
  std::size_t CountCoordinators() const;
  /// Hosts of a region that run requests, best first.
  std::vector<std::string> Coordinators(const std::string& region) const;

 private:
  using HostRecords = std::vector<std::shared_ptr<LeafRecord>>;

  /// Shards that go to one of some hosts.
  struct Slice {
    std::vector<std::size_t> shards;
    HostRecords hosts;
    /// Used while none of `hosts` answers: the region's other coordinators.
    HostRecords others;
  };
  struct Plan {
    std::uint64_t generation = 0;
    std::uint64_t version = 0;
    std::vector<Slice> slices;
  };

  Plan MakePlan(const RouteTable& table, const Route& route) const;
  std::map<std::string, std::vector<std::size_t>> ShardsByRegion(
      const Route& route) const;
  void AddSlices(const std::string& region,
                 const std::vector<std::size_t>& shards, Plan& plan) const;
  std::shared_ptr<LeafRecord> Best(const HostRecords& hosts,
                                   std::uint64_t seed) const;
  bool FewConnections(const RouteTable& table, const Route& route) const;
  bool IsSlowHere(const Route& route, std::size_t shards) const;

  const base::Clock& clock_;
  std::string self_;
  Location location_;
  const LeafDirectory& directory_;
  const LeafSelector& selector_;
  std::vector<HostEntry> hosts_;
  std::map<std::string, std::shared_ptr<LeafRecord>> records_;
  std::uint64_t generation_ = 0;
  std::unordered_map<std::string, Plan> plans_;
};

}  // namespace berylreach::forward
