// Replica choice.
#include "berylreach/routing/choose_replica.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace berylreach::routing {
namespace {

// Service time assumed of a leaf that has not answered yet.
constexpr base::Duration kAssumedLatency = std::chrono::milliseconds(10);

struct Candidate {
  const Replica* replica = nullptr;
  base::Duration wait{0};
  base::Duration crossing{0};
  double work_per_slot = 0;
  base::Duration latency{0};
};

using Candidates = std::vector<Candidate>;

base::Duration CrossingCost(const Replica& replica, const ReplicaQuery& query) {
  if (replica.zone == query.own_zone) return base::Duration::zero();
  return replica.region == query.own_region ? kZoneCrossing : kRegionCrossing;
}

// Time until a slot is free, if each running call takes the recent latency.
base::Duration ExpectedWait(std::uint32_t pending, std::uint32_t slots,
                            base::Duration latency) {
  if (pending < slots) return base::Duration::zero();
  return latency * (pending - slots + 1) / slots;
}

Candidate Assess(const Replica& replica, const LeafTable& table,
                 const ReplicaQuery& query) {
  Candidate candidate;
  candidate.replica = &replica;
  candidate.latency = table.Observation(replica.leaf).recent_latency;
  if (candidate.latency == base::Duration::zero()) {
    candidate.latency = kAssumedLatency;
  }
  const std::uint32_t pending = table.PendingWork(replica.leaf);
  candidate.wait = ExpectedWait(pending, replica.slots, candidate.latency);
  candidate.crossing = CrossingCost(replica, query);
  candidate.work_per_slot = static_cast<double>(pending) / replica.slots;
  return candidate;
}

bool LessLoaded(const Candidate& a, const Candidate& b) {
  return std::tie(a.work_per_slot, a.latency) <
         std::tie(b.work_per_slot, b.latency);
}

// The better of two candidates drawn at random; all of them when there are only
// two.
const Candidate* BetterOfTwo(const Candidates& from, std::uint64_t random) {
  if (from.empty()) return nullptr;
  const std::size_t first = random % from.size();
  if (from.size() == 1) return &from[first];
  const std::size_t step = 1 + (random >> 32) % (from.size() - 1);
  const std::size_t second = (first + step) % from.size();
  return LessLoaded(from[second], from[first]) ? &from[second] : &from[first];
}

// Leaves of the same crossing cost form one class; the nearest class that is
// not empty wins unless a farther one has a shorter wait by more than the
// difference.
const Candidate* PreferNear(const Candidates& candidates,
                            std::uint64_t random) {
  const Candidate* best = nullptr;
  for (const base::Duration crossing :
       {base::Duration::zero(), kZoneCrossing, kRegionCrossing}) {
    Candidates peers;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(peers),
                 [&](const Candidate& c) { return c.crossing == crossing; });
    const Candidate* peer = BetterOfTwo(peers, random);
    if (peer == nullptr) continue;
    const bool better = best == nullptr || peer->wait + peer->crossing <
                                               best->wait + best->crossing;
    if (!better) continue;
    best = &*std::find_if(
        candidates.begin(), candidates.end(),
        [&](const Candidate& c) { return c.replica == peer->replica; });
  }
  return best;
}

bool WasTried(const ReplicaQuery& query, const model::LeafName& leaf) {
  return std::count(query.tried.begin(), query.tried.end(), leaf) > 0;
}

void DropLastResorts(const ReplicaQuery& query, Candidates& candidates) {
  if (!query.is_last_resort) return;
  const auto preferred = std::stable_partition(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return !query.is_last_resort(candidate.replica->leaf);
      });
  if (preferred != candidates.begin())
    candidates.erase(preferred, candidates.end());
}

}  // namespace

std::optional<Replica> ChooseReplica(const ReplicaIndex& index,
                                     const LeafTable& table,
                                     const ReplicaQuery& query) {
  Candidates candidates;
  for (const Replica& replica :
       index.Replicas(query.version, query.shard_count, query.shard)) {
    if (WasTried(query, replica.leaf)) continue;
    candidates.push_back(Assess(replica, table, query));
  }
  if (candidates.empty()) return std::nullopt;
  DropLastResorts(query, candidates);
  if (query.suspect) {
    return *std::min_element(candidates.begin(), candidates.end(), LessLoaded)
                ->replica;
  }
  return *PreferNear(candidates, query.random)->replica;
}

}  // namespace berylreach::routing
