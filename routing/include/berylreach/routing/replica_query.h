// Input of ChooseReplica.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::routing {

/// The shard to choose a leaf for, the location of the host that chooses, and
/// what is known about the request.
struct ReplicaQuery {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  std::uint32_t shard = 0;
  model::ZoneName own_zone;
  std::string own_region;
  /// Leaves that the request was already sent to for this shard; they are not
  /// chosen.
  std::span<const model::LeafName> tried;
  /// The request is suspect: the leaf with the least work per slot is chosen,
  /// whatever its zone, since the call must wait until the leaf is idle.
  bool suspect = false;
  /// Returns whether a leaf is a last resort, which is chosen only if there is
  /// no other leaf. If empty, no leaf is a last resort.
  std::function<bool(const model::LeafName&)> is_last_resort;
  /// Random bits that determine which two leaves are compared.
  std::uint64_t random = 0;
};

}  // namespace berylreach::routing
