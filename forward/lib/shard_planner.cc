// Makes the plans by region and selects the hosts for each slice.
#include "berylreach/forward/shard_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/forward/coordinators.h"
#include "berylreach/forward/slice_assignment.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Minimum number of shards, and minimum fraction of a route's shards, for
/// which a host of another region is asked instead of calling the leaves of
/// that region from here. A few shards that have lost their leaves in this
/// region stay with the hosts that have connections to their other leaves.
constexpr std::size_t kMinRemoteShards = 2;
constexpr double kMinRemoteShare = 0.25;
/// Minimum number of a route's shards in a slice, so that the message to the
/// host costs little compared with the calls of the slice.
constexpr std::size_t kMinShardsPerSlice = 16;

/// Processor time of one leaf call (docs/MEASUREMENTS.md).
constexpr std::chrono::duration<double, std::micro> kCallProcessorTime{50};
/// Maximum fraction of the objective for which the calls may occupy this host's
/// processor.
constexpr double kMaxProcessorShare = 0.1;

/// Number of requests that a host runs concurrently without delay.
constexpr std::size_t kHostSlots = 16;

using ShardsOfRegion = std::map<std::string, std::vector<std::size_t>>;

/// Moves the shards of each region that was assigned too few shards to
/// `own_region`, or to the region with the most shards if `own_region` has
/// none.
void MergeSmallRegions(const std::string& own_region, std::size_t total,
                       ShardsOfRegion& assigned) {
  const auto largest = std::max_element(
      assigned.begin(), assigned.end(), [](const auto& a, const auto& b) {
        return a.second.size() < b.second.size();
      });
  if (largest == assigned.end()) return;
  const std::string target =
      assigned.contains(own_region) ? own_region : largest->first;
  const auto min_shards = std::max(
      kMinRemoteShards, static_cast<std::size_t>(std::ceil(
                            kMinRemoteShare * static_cast<double>(total))));
  std::vector<std::size_t>& merged = assigned[target];
  std::erase_if(assigned, [&](const auto& region) {
    if (region.first == target || region.second.size() >= min_shards)
      return false;
    merged.insert(merged.end(), region.second.begin(), region.second.end());
    return true;
  });
  std::sort(merged.begin(), merged.end());
}

}  // namespace

ShardPlanner::ShardPlanner(const base::Clock& clock, std::string self,
                           Location location, const LeafDirectory& directory,
                           const LeafSelector& selector, ServiceShares& shares)
    : clock_(clock),
      self_(std::move(self)),
      location_(std::move(location)),
      directory_(directory),
      selector_(selector),
      shares_(shares) {}

void ShardPlanner::SetHosts(std::vector<HostEntry> hosts) {
  hosts_ = std::move(hosts);
  HostRecordsByName records;
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
  shares_.SetHosts(hosts_.size());
}

std::vector<std::string> ShardPlanner::HostNames() const {
  std::vector<std::string> names;
  for (const HostEntry& host : hosts_) names.push_back(host.name);
  return names;
}

std::shared_ptr<LeafRecord> ShardPlanner::Find(const std::string& host) const {
  const auto found = records_.find(host);
  return found == records_.end() ? nullptr : found->second;
}

std::vector<ShardGroup> ShardPlanner::Divide(const RouteTable& table,
                                             const Route& route,
                                             std::uint64_t seed) {
  std::vector<ShardGroup> groups;
  // Requests of a route that is restricted to regions are not divided.
  if (!route.scatters() || !route.regions.empty()) return groups;
  for (const Slice& slice : CurrentPlan(table, route).slices) {
    ShardGroup group = ChooseHosts(slice, seed);
    if (group.host != nullptr) groups.push_back(std::move(group));
  }
  return groups;
}

ShardGroup ShardPlanner::ChooseHosts(const Slice& slice,
                                     std::uint64_t seed) const {
  ShardGroup group{.shards = slice.shards};
  for (const bool reachable : {true, false}) {
    auto backup = BestHost(slice.backups, seed, reachable);
    group.host = BestHost(slice.primaries, seed, reachable);
    if (group.host == nullptr) group.host = std::exchange(backup, nullptr);
    if (group.host == nullptr)
      group.host = BestHost(slice.fallbacks, seed, reachable);
    if (group.host == nullptr) continue;
    group.backup = std::move(backup);
    break;
  }
  return group;
}

void ShardPlanner::StartVersion(const RouteTable& table) {
  const std::uint64_t version = table.configuration().version;
  // Drops the plans of removed routes, which would keep connections open.
  if (std::exchange(planned_version_, version) == version) return;
  plans_.clear();
  shares_.ClearCallingHosts();
  // Plans for a version that has been put in force are made again; until then,
  // the connections that they need stay open.
  std::erase_if(pending_plans_, [&table](const auto& plan) {
    const auto& routes = table.configuration().routes;
    return std::none_of(routes.begin(), routes.end(), [&](const Route& route) {
      return route.name == plan.first && route.shards == plan.second.shards;
    });
  });
}

const ShardPlanner::Plan& ShardPlanner::CurrentPlan(const RouteTable& table,
                                                    const Route& route) {
  StartVersion(table);
  Plan& plan = plans_[route.name];
  UpdatePlan(table, route, plan);
  std::erase_if(pending_plans_, [&route](const auto& pending) {
    return pending.first == route.name && pending.second.shards == route.shards;
  });
  return plan;
}

void ShardPlanner::UpdatePlan(const RouteTable& table, const Route& route,
                              Plan& plan) {
  const std::uint64_t generation = generation_ + directory_.generation();
  if (plan.generation == generation && plan.shards == route.shards) return;
  plan = MakePlan(table, route);
  plan.generation = generation;
  plan.shards = route.shards;
  if (HasScarceConnections(table, route)) UpdateServiceShares(route);
}

std::vector<std::size_t> ShardPlanner::PlanPending(const RouteTable& table,
                                                   const Route& route) {
  std::vector<bool> delegated(route.shards.size());
  if (route.regions.empty()) {
    Plan& plan = pending_plans_[route.name];
    UpdatePlan(table, route, plan);
    for (const Slice& slice : plan.slices)
      for (const std::size_t shard : slice.shards) delegated[shard] = true;
  }
  std::vector<std::size_t> own_shards;
  for (std::size_t shard = 0; shard < delegated.size(); ++shard)
    if (!delegated[shard]) own_shards.push_back(shard);
  return own_shards;
}

void ShardPlanner::PlanAhead(const RouteTable& table) {
  const std::vector<Route>& routes = table.configuration().routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& route = routes[next_planned_++ % routes.size()];
    if (!route.scatters() || !route.regions.empty()) continue;
    CurrentPlan(table, route);
    return;
  }
}

ShardPlanner::HostRecordsByName ShardPlanner::LinkedHosts() const {
  HostRecordsByName linked;
  const auto add = [this, &linked](const HostRecords& hosts) {
    for (const auto& host : hosts)
      if (IsKnownHost(host->entry().id)) linked[host->entry().id] = host;
  };
  for (const auto* plans : {&plans_, &pending_plans_}) {
    for (const auto& [route, plan] : *plans) {
      for (const Slice& slice : plan.slices) {
        add(slice.primaries);
        add(slice.backups);
      }
    }
  }
  return linked;
}

std::shared_ptr<LeafRecord> ShardPlanner::BestHost(const HostRecords& hosts,
                                                   std::uint64_t seed,
                                                   bool reachable) const {
  const base::TimePoint now = clock_.Now();
  std::shared_ptr<LeafRecord> best;
  auto best_cost = base::Duration::max();
  for (const auto& host : hosts) {
    if (host->IsBackedOff(now) || host->HasOverdueCall(now)) continue;
    if (reachable && !reachable_(*host)) continue;
    const auto cost = JitteredCost(*host, seed, now);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = host;
  }
  return best;
}

ShardPlanner::Plan ShardPlanner::MakePlan(const RouteTable& table,
                                          const Route& route) const {
  Plan plan;
  const bool scarce_connections = HasScarceConnections(table, route);
  for (const auto& [region, shards] : ShardsByRegion(route)) {
    const bool is_own_region = region == location_.region;
    const bool calls_from_here = is_own_region
                                     ? !IsSlowHere(route, shards.size())
                                     : shards.size() < kMinRemoteShards;
    if (scarce_connections || !calls_from_here)
      AddSlices(region, route, shards, plan);
  }
  return plan;
}

std::map<std::string, std::vector<std::size_t>> ShardPlanner::ShardsByRegion(
    const Route& route) const {
  std::map<std::string, std::vector<std::size_t>> assigned;
  // The shards without a leaf in this region, with the regions that have one.
  std::map<std::size_t, std::set<std::string>> remote_shards;
  for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
    std::set<std::string> regions = LeafRegions(route.shards[shard]);
    if (regions.contains(location_.region)) {
      assigned[location_.region].push_back(shard);
    } else if (!regions.empty()) {
      remote_shards[shard] = std::move(regions);
    }
  }
  // Uses as few regions as possible: takes the region that has leaves of the
  // most remaining shards, until no shard remains. Each host breaks ties
  // between regions differently.
  while (!remote_shards.empty()) {
    std::map<std::string, std::size_t> counts;
    for (const auto& [shard, regions] : remote_shards)
      for (const std::string& region : regions) ++counts[region];
    const auto preferred = std::max_element(
        counts.begin(), counts.end(), [this](const auto& a, const auto& b) {
          if (a.second != b.second) return a.second < b.second;
          return base::Hash64(self_ + a.first) < base::Hash64(self_ + b.first);
        });
    std::erase_if(remote_shards, [&](const auto& remote_shard) {
      if (!remote_shard.second.contains(preferred->first)) return false;
      assigned[preferred->first].push_back(remote_shard.first);
      return true;
    });
  }
  MergeSmallRegions(location_.region, route.shards.size(), assigned);
  return assigned;
}

ShardPlanner::RegionSlices ShardPlanner::SlicesOf(const std::string& region,
                                                  const Route& route) const {
  const std::vector<std::string> coordinators = Coordinators(region);
  if (coordinators.empty()) return {};
  // All senders use the same slices, whichever shards they delegate to the
  // region, so that few hosts call each leaf and know how busy it is.
  return AssignSlices(
      coordinators,
      std::clamp<std::size_t>(route.shards.size() / kMinShardsPerSlice, 1,
                              coordinators.size()));
}

std::set<std::string> ShardPlanner::HostRegions() const {
  std::set<std::string> regions;
  for (const HostEntry& host : hosts_)
    regions.insert(location_.RegionOf(host.zone));
  return regions;
}

std::set<std::string> ShardPlanner::LeafRegions(
    const std::string& service) const {
  std::set<std::string> regions;
  directory_.ForEachUsable(service, [&regions](const auto& leaf) {
    regions.insert(leaf->region());
  });
  return regions;
}

void ShardPlanner::UpdateServiceShares(const Route& route) {
  std::map<std::string, std::vector<std::size_t>> shards_of;
  for (std::size_t shard = 0; shard < route.shards.size(); ++shard)
    for (const std::string& region : LeafRegions(route.shards[shard]))
      shards_of[region].push_back(shard);
  std::vector<std::string> coordinators;
  std::unordered_map<std::string, CallingHosts> calling_hosts;
  for (const std::string& service : route.shards)
    calling_hosts[service].owners = 0;
  for (const std::string& region : HostRegions()) {
    const auto names = Coordinators(region);
    coordinators.insert(coordinators.end(), names.begin(), names.end());
    const auto slices = SlicesOf(region, route);
    if (slices.empty()) continue;
    for (const std::size_t shard : shards_of[region]) {
      const auto& hosts = slices[shard % slices.size()];
      CallingHosts& of_service = calling_hosts[route.shards[shard]];
      of_service.owners += hosts.size();
      if (std::find(hosts.begin(), hosts.end(), self_) != hosts.end())
        of_service.is_owner = true;
    }
  }
  shares_.SetCoordinators(self_, std::move(coordinators));
  shares_.SetCallingHosts(calling_hosts);
}

void ShardPlanner::AddSlices(const std::string& region, const Route& route,
                             const std::vector<std::size_t>& shards,
                             Plan& plan) const {
  const RegionSlices assigned = SlicesOf(region, route);
  if (assigned.empty()) return;
  const std::size_t count = assigned.size();
  std::vector<Slice> slices(count);
  for (const std::size_t shard : shards)
    slices[shard % count].shards.push_back(shard);
  const auto hosts = HostsForSender(self_, assigned);
  for (std::size_t i = 0; i < count; ++i) {
    const bool runs_here = std::find(assigned[i].begin(), assigned[i].end(),
                                     self_) != assigned[i].end();
    if (runs_here || slices[i].shards.empty()) continue;
    slices[i].primaries = RecordsOf(hosts[i].primaries);
    slices[i].backups = RecordsOf(hosts[i].backups);
    slices[i].fallbacks = RecordsOf(hosts[i].fallbacks);
    plan.slices.push_back(std::move(slices[i]));
  }
}

ShardPlanner::HostRecords ShardPlanner::RecordsOf(
    const std::vector<std::string>& names) const {
  HostRecords hosts;
  for (const std::string& name : names) {
    const auto found = records_.find(name);
    if (found != records_.end()) hosts.push_back(found->second);
  }
  return hosts;
}

bool ShardPlanner::HasScarceConnections(const RouteTable& table,
                                        const Route& route) const {
  const Service* service = table.FindService(route.shards.front());
  return service != nullptr && selector_.HasScarceConnections(*service);
}

bool ShardPlanner::IsSlowHere(const Route& route, std::size_t shards) const {
  const auto self = std::find_if(
      hosts_.begin(), hosts_.end(),
      [this](const HostEntry& host) { return host.name == self_; });
  if (self == hosts_.end() || self->cores <= 0) return false;
  const auto calls = static_cast<double>(shards);
  return calls * kCallProcessorTime / self->cores >
         route.objective * kMaxProcessorShare;
}

std::vector<std::string> ShardPlanner::Coordinators(
    const std::string& region) const {
  std::vector<HostEntry> hosts;
  for (const HostEntry& host : hosts_)
    if (location_.RegionOf(host.zone) == region) hosts.push_back(host);
  return ChooseCoordinators(hosts, directory_.CountByZone());
}

}  // namespace berylreach::forward
