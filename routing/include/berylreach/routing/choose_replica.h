// Choice of the leaf that serves a shard.
#pragma once

#include <chrono>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/replica_index.h"
#include "berylreach/routing/replica_query.h"

namespace berylreach::routing {

/// Round trip time between zones of one region; the deployments have a one-way
/// latency of 0.5 to 1 ms.
inline constexpr base::Duration kZoneRoundTrip = std::chrono::milliseconds(2);
/// Round trip time between regions; the deployments have a one-way latency of
/// 20 ms.
inline constexpr base::Duration kRegionRoundTrip =
    std::chrono::milliseconds(40);

/// Chooses one of the usable leaves of the shard (docs/design.md, section 3.7).
/// A leaf of the own zone is preferred unless its expected wait exceeds that of
/// the best other leaf by more than the round trip to it; within a zone, the
/// better of two random leaves is chosen, by work per slot and then by recent
/// latency. A leaf of last resort is chosen only if there is no other leaf.
/// Returns nothing if every usable leaf was tried.
std::optional<Replica> ChooseReplica(const ReplicaIndex& index,
                                     const LeafTable& table,
                                     const ReplicaQuery& query);

}  // namespace berylreach::routing
