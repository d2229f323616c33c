// What ChooseReplica is asked for.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::routing {

/// The shard that needs a leaf, and the caller's place.
struct ReplicaQuery {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  std::uint32_t shard = 0;
  model::ZoneName own_zone;
  std::string own_region;
  /// Leaves that have already been given this shard of this request.
  std::span<const model::LeafName> tried;
  /// The request is suspect: prefer the leaf with least work in any zone, since
  /// the call must wait until the leaf is empty.
  bool suspect = false;
  /// Whether a leaf is chosen only if there is no other; none if empty.
  std::function<bool(const model::LeafName&)> is_last_resort;
  /// Random bits for the power of two choices.
  std::uint64_t random = 0;
};

}  // namespace berylreach::routing
