// Choice of the index version that a query runs at.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "berylreach/routing/replica_index.h"
#include "berylreach/routing/snapshot.h"

namespace berylreach::routing {

/// Returns the newest complete version, or the complete version before it if
/// only that one has 2 or more replicas of every shard (docs/design.md, section
/// 3.5). Without a complete version, returns the version with the largest
/// fraction of available shards; of several such versions, the newest. Versions
/// in `excluded` are skipped. Returns nothing if no version is left.
std::optional<Snapshot> ChooseSnapshot(
    const ReplicaIndex& index, const std::vector<std::uint64_t>& excluded);

}  // namespace berylreach::routing
