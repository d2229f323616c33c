// Which leaf serves a shard.
#pragma once

#include <chrono>
#include <optional>

#include "berylreach/base/clock.h"
#include "berylreach/routing/leaf_table.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/replica_index.h"
#include "berylreach/routing/replica_query.h"

namespace berylreach::routing {

/// Round trip between zones of one region, from the deployments' 0.5 to 1 ms
/// one way.
inline constexpr base::Duration kZoneCrossing = std::chrono::milliseconds(2);
/// Round trip between regions, from the deployments' 20 ms one way.
inline constexpr base::Duration kRegionCrossing = std::chrono::milliseconds(40);

/// Chooses among the usable leaves of the shard (design 3.7): own zone first,
/// unless its expected wait exceeds that of the best other leaf by more than
/// the crossing costs; within a zone the better of two random leaves by work
/// per slot, then by recent latency. Leaves of last resort are chosen only if
/// there is no other. Nothing if every usable leaf was tried.
std::optional<Replica> ChooseReplica(const ReplicaIndex& index,
                                     const LeafTable& table,
                                     const ReplicaQuery& query);

}  // namespace berylreach::routing
