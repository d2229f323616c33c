// Choice by distance, expected wait and load.
#include "berylreach/routing/choose_replica.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace berylreach::routing {
namespace {

/// Latency assumed for a leaf that has not answered yet.
constexpr base::Duration kAssumedLatency = std::chrono::milliseconds(10);

struct Candidate {
  const Replica* replica = nullptr;
  base::Duration wait{0};
  base::Duration round_trip{0};
  double work_per_slot = 0;
  base::Duration latency{0};
};

using Candidates = std::vector<Candidate>;

base::Duration RoundTripTo(const Replica& replica, const ReplicaQuery& query) {
  if (replica.zone == query.own_zone) return base::Duration::zero();
  return replica.region == query.own_region ? kZoneRoundTrip : kRegionRoundTrip;
}

/// Returns the expected time until a slot is free, assuming that each running
/// call takes `latency`.
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
  candidate.round_trip = RoundTripTo(replica, query);
  candidate.work_per_slot = static_cast<double>(pending) / replica.slots;
  return candidate;
}

bool LessLoaded(const Candidate& a, const Candidate& b) {
  return std::tie(a.work_per_slot, a.latency) <
         std::tie(b.work_per_slot, b.latency);
}

/// Returns the better of two candidates drawn at random, or the only one; null
/// if there is none.
const Candidate* BetterOfTwo(const Candidates& from, std::uint64_t random) {
  if (from.empty()) return nullptr;
  const std::size_t first = random % from.size();
  if (from.size() == 1) return &from[first];
  const std::size_t step = 1 + (random >> 32) % (from.size() - 1);
  const std::size_t second = (first + step) % from.size();
  return LessLoaded(from[second], from[first]) ? &from[second] : &from[first];
}

/// Chooses by BetterOfTwo among the leaves at each distance. The nearest choice
/// wins unless a farther one has a shorter wait by more than the difference of
/// the round trips.
const Candidate* ChooseByWaitAndDistance(const Candidates& candidates,
                                         std::uint64_t random) {
  const Candidate* best = nullptr;
  for (const base::Duration round_trip :
       {base::Duration::zero(), kZoneRoundTrip, kRegionRoundTrip}) {
    Candidates equidistant;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(equidistant),
        [&](const Candidate& c) { return c.round_trip == round_trip; });
    const Candidate* choice = BetterOfTwo(equidistant, random);
    if (choice == nullptr) continue;
    const bool better = best == nullptr || choice->wait + choice->round_trip <
                                               best->wait + best->round_trip;
    if (!better) continue;
    best = &*std::find_if(
        candidates.begin(), candidates.end(),
        [&](const Candidate& c) { return c.replica == choice->replica; });
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
  return *ChooseByWaitAndDistance(candidates, query.random)->replica;
}

}  // namespace berylreach::routing
