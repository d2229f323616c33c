// The usable leaves of a service by version and shard.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/environment.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/snapshot.h"

namespace berylreach::routing {

/// The usable leaves of one service by version and shard. A leaf is usable for
/// a version if its zone is in service, LeafTable::AcceptsWork is true for it,
/// and it holds the version. The index is built once per change, because a
/// query over 720 shards must not scan every leaf for each shard.
class ReplicaIndex {
 public:
  /// Holdings with a higher shard count are ignored, so that a faulty leaf
  /// cannot make a host allocate without bound.
  static constexpr std::uint32_t kMaxShardCount = 16384;

  ReplicaIndex() = default;
  /// The index is empty if the document does not name `service`.
  ReplicaIndex(const model::Environment& environment,
               const model::ServiceName& service, const LeafTable& table);

  /// Returns the usable leaves of `shard`; empty if there are none.
  const std::vector<Replica>& Replicas(std::uint64_t version,
                                       std::uint32_t shard_count,
                                       std::uint32_t shard) const;

  /// All versions that at least one usable leaf holds, newest first.
  const std::vector<Snapshot>& snapshots() const { return snapshots_; }

 private:
  using Shards = std::vector<std::vector<Replica>>;

  void AddLeaf(const model::Environment& environment, const model::Leaf& leaf,
               const LeafTable& table);
  void BuildSnapshots();

  /// Replicas of each shard, by version and shard count.
  std::map<std::pair<std::uint64_t, std::uint32_t>, Shards> versions_;
  std::vector<Snapshot> snapshots_;
};

}  // namespace berylreach::routing
