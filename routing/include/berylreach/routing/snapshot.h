// An index version that a query can run at.
#pragma once

#include <cstdint>

namespace berylreach::routing {

/// One version with the number of shards of its partition map.
struct Snapshot {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  /// Shards with at least one usable leaf.
  std::uint32_t available_shards = 0;
  /// Number of usable leaves of the shard that has the fewest.
  std::uint32_t min_replicas = 0;

  bool Complete() const { return available_shards == shard_count; }

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

}  // namespace berylreach::routing
