// Regions, coordinators and the choice among them.
#include "berylreach/forward/relay_planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "berylreach/base/hash.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Least share of a route's shards that a region must hold to run the route.
constexpr double kLeastRegionShare = 0.5;

/// Part of a region's processors that runs requests in a large fleet.
constexpr double kCoordinatorShare = 0.25;
/// Coordinators of a region, so that the loss of one leaves another.
constexpr std::size_t kLeastCoordinators = 2;

/// Processor time of one leaf call (docs/MEASUREMENTS.md).
constexpr std::chrono::duration<double, std::micro> kCallProcessorTime{50};
/// Part of the objective that a host's own processor may take up.
constexpr double kProcessorShare = 0.1;

/// Requests that a host runs at the same time without delay.
constexpr std::size_t kHostSlots = 16;

}  // namespace

RelayPlanner::RelayPlanner(const base::Clock& clock, std::string self,
                           Location location, const LeafDirectory& directory,
                           const LeafSelector& selector)
    : clock_(clock),
      self_(std::move(self)),
      location_(std::move(location)),
      directory_(directory),
      selector_(selector) {}

void RelayPlanner::SetHosts(std::vector<HostEntry> hosts) {
  hosts_ = std::move(hosts);
  std::map<std::string, std::shared_ptr<LeafRecord>> records;
  for (const HostEntry& host : hosts_) {
    if (host.name == self_ || host.address.empty()) continue;
    const auto known = records_.find(host.name);
    if (known != records_.end() &&
        known->second->entry().address == host.address) {
      records.insert(*known);
      continue;
    }
    const std::string region = location_.RegionOf(host.zone);
    records[host.name] = std::make_shared<LeafRecord>(
        LeafEntry{.id = host.name,
                  .address = host.address,
                  .zone = host.zone,
                  .slots = kHostSlots},
        location_.DistanceOf(host.zone), region, clock_.Now());
  }
  records_ = std::move(records);
  ++generation_;
}

std::shared_ptr<LeafRecord> RelayPlanner::Choose(const RouteTable& table,
                                                 const Route& route,
                                                 std::uint64_t seed) {
  // A request of a restricted route stays with the host that has it.
  if (!route.scatters() || !route.regions.empty()) return nullptr;
  Plan& plan = plans_[route.name];
  const std::uint64_t generation = generation_ + directory_.generation();
  const std::uint64_t version = table.configuration().version;
  if (plan.generation != generation || plan.version != version) {
    plan = MakePlan(table, route);
    plan.generation = generation;
    plan.version = version;
  }
  const base::TimePoint now = clock_.Now();
  std::shared_ptr<LeafRecord> best;
  auto best_cost = base::Duration::max();
  for (const auto& host : plan.hosts) {
    if (host->IsBackedOff(now) || host->IsSilent(now)) continue;
    const auto cost = JitteredCost(*host, seed, now);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = host;
  }
  return best;
}

milliseconds RelayPlanner::Transit(const LeafRecord& host) {
  switch (host.distance()) {
    case Distance::kSameZone:
      return milliseconds(1);
    case Distance::kSameRegion:
      return milliseconds(2);
    case Distance::kOtherRegion:
      break;
  }
  return milliseconds(22);
}

RelayPlanner::Plan RelayPlanner::MakePlan(const RouteTable& table,
                                          const Route& route) const {
  Plan plan;
  const std::vector<std::string> regions = TargetRegions(route);
  const bool own = std::find(regions.begin(), regions.end(),
                             location_.region) != regions.end();
  if (own && !FewConnections(table, route) && !IsSlowHere(route)) return plan;
  for (const std::string& region : regions) {
    if (own && region != location_.region) continue;
    for (const std::string& name : Coordinators(region)) {
      if (name == self_) return {};
      const auto found = records_.find(name);
      if (found != records_.end()) plan.hosts.push_back(found->second);
    }
  }
  return plan;
}

std::vector<std::string> RelayPlanner::TargetRegions(const Route& route) const {
  std::map<std::string, std::size_t> shards_of_region;
  for (const std::string& shard : route.shards) {
    std::set<std::string> regions;
    for (const auto& leaf : directory_.Usable(shard))
      regions.insert(leaf->region());
    for (const std::string& region : regions) ++shards_of_region[region];
  }
  std::vector<std::string> targets;
  for (const auto& [region, shards] : shards_of_region) {
    if (static_cast<double>(shards) >=
        kLeastRegionShare * static_cast<double>(route.shards.size()))
      targets.push_back(region);
  }
  return targets;
}

bool RelayPlanner::FewConnections(const RouteTable& table,
                                  const Route& route) const {
  for (const Service& service : table.configuration().services) {
    if (service.name == route.shards.front())
      return selector_.FewConnections(service);
  }
  return false;
}

bool RelayPlanner::IsSlowHere(const Route& route) const {
  const auto self = std::find_if(
      hosts_.begin(), hosts_.end(),
      [this](const HostEntry& host) { return host.name == self_; });
  if (self == hosts_.end() || self->cores <= 0) return false;
  const auto calls = static_cast<double>(route.shards.size());
  return calls * kCallProcessorTime / self->cores >
         route.objective * kProcessorShare;
}

std::size_t RelayPlanner::CountCoordinators() const {
  std::set<std::string> regions;
  for (const HostEntry& host : hosts_)
    regions.insert(location_.RegionOf(host.zone));
  std::size_t count = 0;
  for (const std::string& region : regions)
    count += Coordinators(region).size();
  return count;
}

std::vector<std::string> RelayPlanner::Coordinators(
    const std::string& region) const {
  std::vector<const HostEntry*> hosts;
  double cores = 0;
  for (const HostEntry& host : hosts_) {
    if (location_.RegionOf(host.zone) != region) continue;
    hosts.push_back(&host);
    cores += host.cores;
  }
  std::sort(hosts.begin(), hosts.end(),
            [this](const HostEntry* a, const HostEntry* b) {
              if (a->cores != b->cores) return a->cores > b->cores;
              const std::size_t near_a = directory_.CountInZone(a->zone);
              const std::size_t near_b = directory_.CountInZone(b->zone);
              if (near_a != near_b) return near_a > near_b;
              return base::Hash64(a->name) > base::Hash64(b->name);
            });
  std::vector<std::string> names;
  double taken = 0;
  for (const HostEntry* host : hosts) {
    if (names.size() >= kLeastCoordinators &&
        taken >= kCoordinatorShare * cores)
      break;
    names.push_back(host->name);
    taken += host->cores;
  }
  return names;
}

}  // namespace berylreach::forward
