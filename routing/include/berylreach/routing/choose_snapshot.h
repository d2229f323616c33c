// Which version a query runs at.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "berylreach/routing/replica_index.h"
#include "berylreach/routing/snapshot.h"

namespace berylreach::routing {

/// The newest complete version, or the complete version before it if only that
/// one has 2 or more replicas of every shard (design 3.5). Without a complete
/// version, the newest of those that hold the largest fraction of their shards.
/// Versions in `excluded` are passed over. Nothing if no version is left.
std::optional<Snapshot> ChooseSnapshot(
    const ReplicaIndex& index, const std::vector<std::uint64_t>& excluded);

}  // namespace berylreach::routing
