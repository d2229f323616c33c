// Which leaf runs an unproven request first.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "berylreach/model/names.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/replica_index.h"

namespace berylreach::routing {

/// What ChooseByFingerprint is asked for.
struct FingerprintQuery {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  std::uint64_t fingerprint = 0;
  /// Leaves of this region come first; empty for no preference.
  std::string region;
  /// Shards that may run the request.
  std::span<const std::uint32_t> shards;
  /// Whether a leaf is left out for a shard; none if empty.
  std::function<bool(std::uint32_t shard, const model::LeafName&)> is_excluded;
  /// Whether a leaf is chosen only if there is no other; none if empty.
  std::function<bool(const model::LeafName&)> is_last_resort;
};

/// A shard and the leaf that serves it.
struct Placement {
  std::uint32_t shard = 0;
  Replica replica;
};

/// The rendezvous winner of the fingerprint among the usable leaves (design
/// 3.9). Load has no influence, so that hosts of one region that know the same
/// leaf states choose the same leaf. Nothing if every leaf is excluded.
std::optional<Placement> ChooseByFingerprint(const ReplicaIndex& index,
                                             const FingerprintQuery& query);

}  // namespace berylreach::routing
