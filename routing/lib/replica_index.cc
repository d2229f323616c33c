// Building of replica indexes.
#include "berylreach/routing/replica_index.h"

#include <algorithm>
#include <iterator>

#include "berylreach/base/hash.h"

namespace berylreach::routing {
namespace {

bool Valid(const model::Holding& holding) {
  return holding.shard < holding.shard_count &&
         holding.shard_count <= ReplicaIndex::kMaxShardCount;
}

Snapshot MakeSnapshot(std::uint64_t version,
                      const std::vector<std::vector<Replica>>& shards) {
  Snapshot snapshot;
  snapshot.version = version;
  snapshot.shard_count = static_cast<std::uint32_t>(shards.size());
  std::size_t min_count = shards.front().size();
  for (const std::vector<Replica>& replicas : shards) {
    if (!replicas.empty()) ++snapshot.available_shards;
    min_count = std::min(min_count, replicas.size());
  }
  snapshot.min_replicas = static_cast<std::uint32_t>(min_count);
  return snapshot;
}

}  // namespace

ReplicaIndex::ReplicaIndex(const model::Environment& environment,
                           const model::ServiceName& service,
                           const LeafTable& table) {
  const model::Service* found = model::FindService(environment, service);
  if (found == nullptr) return;
  for (const model::Leaf& leaf : found->leaves) {
    AddLeaf(environment, leaf, table);
  }
  BuildSnapshots();
}

void ReplicaIndex::AddLeaf(const model::Environment& environment,
                           const model::Leaf& leaf, const LeafTable& table) {
  if (!model::ZoneInService(environment, leaf.zone)) return;
  if (!table.AcceptsWork(leaf.name)) return;
  const model::LeafState& state = *table.State(leaf.name);
  Replica replica;
  replica.leaf = leaf.name;
  replica.name_hash = base::Hash64(leaf.name.value);
  replica.zone = leaf.zone;
  replica.region = model::FindZone(environment, leaf.zone)->region;
  replica.slots = state.health == model::LeafHealth::kCold
                      ? 1
                      : std::max<std::uint32_t>(1, leaf.slots);
  for (const model::Holding& holding : state.holdings) {
    if (!Valid(holding) || table.VersionGone(leaf.name, holding.version)) {
      continue;
    }
    Shards& shards = versions_[{holding.version, holding.shard_count}];
    shards.resize(holding.shard_count);
    std::vector<Replica>& replicas = shards[holding.shard];
    // A leaf that lists the same holding twice counts once.
    const bool listed = !replicas.empty() && replicas.back() == replica;
    if (!listed) replicas.push_back(replica);
  }
}

void ReplicaIndex::BuildSnapshots() {
  for (auto entry = versions_.rbegin(); entry != versions_.rend(); ++entry) {
    snapshots_.push_back(MakeSnapshot(entry->first.first, entry->second));
  }
}

const std::vector<Replica>& ReplicaIndex::Replicas(std::uint64_t version,
                                                   std::uint32_t shard_count,
                                                   std::uint32_t shard) const {
  static const std::vector<Replica> none;
  const auto found = versions_.find({version, shard_count});
  if (found == versions_.end() || shard >= found->second.size()) return none;
  return found->second[shard];
}

}  // namespace berylreach::routing
