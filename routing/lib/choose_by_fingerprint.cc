// Choice by rendezvous hashing of the fingerprint.
#include "berylreach/routing/choose_by_fingerprint.h"

#include <tuple>

#include "berylreach/base/rendezvous.h"

namespace berylreach::routing {
namespace {

/// Ranks are compared by their members in order; the highest rank wins.
struct Rank {
  bool preferred = false;
  bool in_region = false;
  std::uint64_t weight = 0;

  friend bool operator<(const Rank& a, const Rank& b) {
    return std::tie(a.preferred, a.in_region, a.weight) <
           std::tie(b.preferred, b.in_region, b.weight);
  }
};

Rank RankOf(const Replica& replica, const FingerprintQuery& query) {
  Rank rank;
  rank.preferred = !query.is_last_resort || !query.is_last_resort(replica.leaf);
  rank.in_region = query.region.empty() || replica.region == query.region;
  rank.weight = base::RendezvousWeight(query.fingerprint, replica.name_hash);
  return rank;
}

}  // namespace

std::optional<Placement> ChooseByFingerprint(const ReplicaIndex& index,
                                             const FingerprintQuery& query) {
  const Replica* best = nullptr;
  std::uint32_t best_shard = 0;
  Rank best_rank;
  for (const std::uint32_t shard : query.shards) {
    for (const Replica& replica :
         index.Replicas(query.version, query.shard_count, shard)) {
      if (query.is_excluded && query.is_excluded(shard, replica.leaf)) continue;
      const Rank rank = RankOf(replica, query);
      // A leaf that holds several of the shards is chosen for the first of
      // them.
      if (best != nullptr && !(best_rank < rank)) continue;
      best = &replica;
      best_shard = shard;
      best_rank = rank;
    }
  }
  if (best == nullptr) return std::nullopt;
  return Placement{best_shard, *best};
}

}  // namespace berylreach::routing
