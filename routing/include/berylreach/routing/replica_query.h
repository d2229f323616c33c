// Input of ChooseReplica.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::routing {

/// The shard that needs a leaf, and the location of the host that asks.
struct ReplicaQuery {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  std::uint32_t shard = 0;
  model::ZoneName own_zone;
  std::string own_region;
  /// Leaves to which this shard of this request has already been sent.
  std::span<const model::LeafName> tried;
  /// The request is suspect: the leaf with the least work in any zone is
  /// preferred, since the call must wait until the leaf is idle.
  bool suspect = false;
  /// Returns whether a leaf is chosen only if there is no other; false for all
  /// if empty.
  std::function<bool(const model::LeafName&)> is_last_resort;
  /// Random bits for the choice between two leaves.
  std::uint64_t random = 0;
};

}  // namespace berylreach::routing
