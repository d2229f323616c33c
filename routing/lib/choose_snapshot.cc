// Choice by completeness and number of replicas.
#include "berylreach/routing/choose_snapshot.h"

#include <algorithm>

namespace berylreach::routing {
namespace {

/// Compares the fractions of available shards without rounding.
bool HasLargerFraction(const Snapshot& a, const Snapshot& b) {
  return std::uint64_t{a.available_shards} * b.shard_count >
         std::uint64_t{b.available_shards} * a.shard_count;
}

}  // namespace

std::optional<Snapshot> ChooseSnapshot(
    const ReplicaIndex& index, const std::vector<std::uint64_t>& excluded) {
  std::vector<Snapshot> complete;
  std::optional<Snapshot> largest;
  for (const Snapshot& snapshot : index.snapshots()) {
    if (std::count(excluded.begin(), excluded.end(), snapshot.version) > 0) {
      continue;
    }
    if (snapshot.Complete()) complete.push_back(snapshot);
    if (!largest || HasLargerFraction(snapshot, *largest)) largest = snapshot;
  }
  if (complete.empty()) return largest;
  const bool prefer_previous = complete.size() > 1 &&
                               complete[0].min_replicas < 2 &&
                               complete[1].min_replicas >= 2;
  return complete[prefer_previous ? 1 : 0];
}

}  // namespace berylreach::routing
