// Regions, coordinators and their slices.
#include "berylreach/forward/shard_planner.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "berylreach/base/hash.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Least shards that are worth a message to a host of another region instead of
/// calls from here.
constexpr std::size_t kLeastRemoteShards = 2;
/// Least shards of a slice, so that its message costs little beside its calls.
constexpr std::size_t kLeastSliceShards = 16;

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

ShardPlanner::ShardPlanner(const base::Clock& clock, std::string self,
                           Location location, const LeafDirectory& directory,
                           const LeafSelector& selector)
    : clock_(clock),
      self_(std::move(self)),
      location_(std::move(location)),
      directory_(directory),
      selector_(selector) {}

void ShardPlanner::SetHosts(std::vector<HostEntry> hosts) {
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

std::vector<ShardGroup> ShardPlanner::Divide(const RouteTable& table,
                                             const Route& route,
                                             std::uint64_t seed) {
  std::vector<ShardGroup> groups;
  // A request of a restricted route stays with the host that has it.
  if (!route.scatters() || !route.regions.empty()) return groups;
  Plan& plan = plans_[route.name];
  const std::uint64_t generation = generation_ + directory_.generation();
  const std::uint64_t version = table.configuration().version;
  if (plan.generation != generation || plan.version != version) {
    plan = MakePlan(table, route);
    plan.generation = generation;
    plan.version = version;
  }
  for (const Slice& slice : plan.slices) {
    auto host = Best(slice.hosts, seed);
    if (host == nullptr) host = Best(slice.others, seed);
    if (host == nullptr) continue;
    groups.push_back({std::move(host), slice.shards});
  }
  return groups;
}

std::shared_ptr<LeafRecord> ShardPlanner::Best(const HostRecords& hosts,
                                               std::uint64_t seed) const {
  const base::TimePoint now = clock_.Now();
  std::shared_ptr<LeafRecord> best;
  auto best_cost = base::Duration::max();
  for (const auto& host : hosts) {
    if (host->IsBackedOff(now) || host->IsSilent(now)) continue;
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
  const bool few = FewConnections(table, route);
  for (const auto& [region, shards] : ShardsByRegion(route)) {
    const bool own = region == location_.region;
    const bool here = own ? !IsSlowHere(route, shards.size())
                          : shards.size() < kLeastRemoteShards;
    if (few || !here) AddSlices(region, shards, plan);
  }
  return plan;
}

std::map<std::string, std::vector<std::size_t>> ShardPlanner::ShardsByRegion(
    const Route& route) const {
  std::map<std::string, std::vector<std::size_t>> assigned;
  std::map<std::size_t, std::set<std::string>> elsewhere;
  for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
    std::set<std::string> regions;
    directory_.ForEachUsable(route.shards[shard], [&regions](const auto& leaf) {
      regions.insert(leaf->region());
    });
    if (regions.contains(location_.region)) {
      assigned[location_.region].push_back(shard);
    } else if (!regions.empty()) {
      elsewhere[shard] = std::move(regions);
    }
  }
  // As few regions as possible; hosts prefer different ones of equal regions.
  while (!elsewhere.empty()) {
    std::map<std::string, std::size_t> counts;
    for (const auto& [shard, regions] : elsewhere)
      for (const std::string& region : regions) ++counts[region];
    const auto most = std::max_element(
        counts.begin(), counts.end(), [this](const auto& a, const auto& b) {
          if (a.second != b.second) return a.second < b.second;
          return base::Hash64(self_ + a.first) < base::Hash64(self_ + b.first);
        });
    std::erase_if(elsewhere, [&](const auto& entry) {
      if (!entry.second.contains(most->first)) return false;
      assigned[most->first].push_back(entry.first);
      return true;
    });
  }
  return assigned;
}

void ShardPlanner::AddSlices(const std::string& region,
                             const std::vector<std::size_t>& shards,
                             Plan& plan) const {
  const std::vector<std::string> coordinators = Coordinators(region);
  if (coordinators.empty()) return;
  const std::size_t count = std::clamp<std::size_t>(
      shards.size() / kLeastSliceShards, 1, coordinators.size());
  std::vector<Slice> slices(count);
  for (std::size_t i = 0; i < shards.size(); ++i)
    slices[i % count].shards.push_back(shards[i]);
  std::size_t own_slice = count;
  for (std::size_t i = 0; i < coordinators.size(); ++i) {
    if (coordinators[i] == self_) own_slice = i % count;
    const auto found = records_.find(coordinators[i]);
    if (found == records_.end()) continue;
    for (std::size_t slice = 0; slice < count; ++slice) {
      HostRecords& hosts =
          slice == i % count ? slices[slice].hosts : slices[slice].others;
      hosts.push_back(found->second);
    }
  }
  if (own_slice < count)
    slices.erase(slices.begin() + static_cast<std::ptrdiff_t>(own_slice));
  plan.slices.insert(plan.slices.end(), std::make_move_iterator(slices.begin()),
                     std::make_move_iterator(slices.end()));
}

bool ShardPlanner::FewConnections(const RouteTable& table,
                                  const Route& route) const {
  const Service* service = table.FindService(route.shards.front());
  return service != nullptr && selector_.FewConnections(*service);
}

bool ShardPlanner::IsSlowHere(const Route& route, std::size_t shards) const {
  const auto self = std::find_if(
      hosts_.begin(), hosts_.end(),
      [this](const HostEntry& host) { return host.name == self_; });
  if (self == hosts_.end() || self->cores <= 0) return false;
  const auto calls = static_cast<double>(shards);
  return calls * kCallProcessorTime / self->cores >
         route.objective * kProcessorShare;
}

std::size_t ShardPlanner::CountCoordinators() const {
  std::set<std::string> regions;
  for (const HostEntry& host : hosts_)
    regions.insert(location_.RegionOf(host.zone));
  std::size_t count = 0;
  for (const std::string& region : regions)
    count += Coordinators(region).size();
  return count;
}

std::vector<std::string> ShardPlanner::Coordinators(
    const std::string& region) const {
  struct Candidate {
    double cores = 0;
    /// Leaves of its zone.
    std::size_t near = 0;
    /// Spreads the choice among equal hosts.
    std::uint64_t hash = 0;
    const std::string* name = nullptr;
  };
  auto leaves = directory_.CountByZone();
  std::vector<Candidate> candidates;
  double cores = 0;
  for (const HostEntry& host : hosts_) {
    if (location_.RegionOf(host.zone) != region) continue;
    candidates.push_back(
        {host.cores, leaves[host.zone], base::Hash64(host.name), &host.name});
    cores += host.cores;
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.cores, a.near, a.hash) >
                     std::tie(b.cores, b.near, b.hash);
            });
  std::vector<std::string> names;
  double taken = 0;
  for (const Candidate& candidate : candidates) {
    if (names.size() >= kLeastCoordinators &&
        taken >= kCoordinatorShare * cores)
      break;
    names.push_back(*candidate.name);
    taken += candidate.cores;
  }
  return names;
}

}  // namespace berylreach::forward
