// Decides which host fans a request out.
#pragma once

#include <chrono>
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

namespace berylreach::forward {

/// A scattering request is run by a host near the leaves if the caller's host
/// is in a region without them, because one merged answer then crosses regions
/// instead of one answer a shard. In a large fleet few hosts of each region run
/// the requests, because the leaves accept too few connections for all hosts or
/// because small hosts would take too long over the many parts. Not
/// thread-safe.
class RelayPlanner {
 public:
  /// The arguments must outlive the planner.
  RelayPlanner(const base::Clock& clock, std::string self, Location location,
               const LeafDirectory& directory, const LeafSelector& selector);

  /// All hosts of the deployment.
  void SetHosts(std::vector<HostEntry> hosts);

  /// The host that runs the request; null if it is this one.
  std::shared_ptr<LeafRecord> Choose(const RouteTable& table,
                                     const Route& route, std::uint64_t seed);

  /// Expected time of a message to the host.
  static std::chrono::milliseconds Transit(const LeafRecord& host);

  /// Whether `host` is another host of the deployment.
  bool Knows(const std::string& host) const { return records_.contains(host); }

  /// Coordinators of all regions.
  std::size_t CountCoordinators() const;
  /// Hosts of a region that run requests, best first.
  std::vector<std::string> Coordinators(const std::string& region) const;

 private:
  struct Plan {
    std::uint64_t generation = 0;
    std::uint64_t version = 0;
    /// Hosts among which to choose; empty if this host runs the route.
    std::vector<std::shared_ptr<LeafRecord>> hosts;
  };

  Plan MakePlan(const RouteTable& table, const Route& route) const;
  std::vector<std::string> TargetRegions(const Route& route) const;
  bool FewConnections(const RouteTable& table, const Route& route) const;
  bool IsSlowHere(const Route& route) const;

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
