// Snapshot choice.
#include "berylreach/routing/choose_snapshot.h"

#include <algorithm>

namespace berylreach::routing {
namespace {

// Compares the fractions held without rounding.
bool HoldsMore(const Snapshot& a, const Snapshot& b) {
  return std::uint64_t{a.available_shards} * b.shard_count >
         std::uint64_t{b.available_shards} * a.shard_count;
}

}  // namespace

std::optional<Snapshot> ChooseSnapshot(
    const ReplicaIndex& index, const std::vector<std::uint64_t>& excluded) {
  std::vector<Snapshot> complete;
  std::optional<Snapshot> fullest;
  for (const Snapshot& snapshot : index.snapshots()) {
    if (std::count(excluded.begin(), excluded.end(), snapshot.version) > 0) {
      continue;
    }
    if (snapshot.Complete()) complete.push_back(snapshot);
    if (!fullest || HoldsMore(snapshot, *fullest)) fullest = snapshot;
  }
  if (complete.empty()) return fullest;
  const bool prefer_previous = complete.size() > 1 &&
                               complete[0].least_replicas < 2 &&
                               complete[1].least_replicas >= 2;
  return complete[prefer_previous ? 1 : 0];
}

}  // namespace berylreach::routing
