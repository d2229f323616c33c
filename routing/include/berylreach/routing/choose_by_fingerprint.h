// Choice of the leaf that runs an unproven request first.
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

/// Input of ChooseByFingerprint.
struct FingerprintQuery {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  std::uint64_t fingerprint = 0;
  /// Leaves of this region are preferred; no preference if empty.
  std::string region;
  /// Shards whose leaves may run the request.
  std::span<const std::uint32_t> shards;
  /// Returns whether a leaf is excluded for a shard. If empty, no leaf is
  /// excluded.
  std::function<bool(std::uint32_t shard, const model::LeafName&)> is_excluded;
  /// Returns whether a leaf is a last resort, which is chosen only if there is
  /// no other leaf. If empty, no leaf is a last resort.
  std::function<bool(const model::LeafName&)> is_last_resort;
};

/// A shard and the leaf that is chosen to serve it.
struct Placement {
  std::uint32_t shard = 0;
  Replica replica;
};

/// Returns the leaf with the highest rendezvous weight for the fingerprint
/// among the usable leaves (docs/design.md, section 3.9). Load does not affect
/// the choice, so that hosts of one region that know the same leaf states
/// choose the same leaf. Returns nothing if every leaf is excluded.
std::optional<Placement> ChooseByFingerprint(const ReplicaIndex& index,
                                             const FingerprintQuery& query);

}  // namespace berylreach::routing
