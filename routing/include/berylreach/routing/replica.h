// A leaf that can serve a shard.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::routing {

/// A usable leaf that holds one shard of one version.
struct Replica {
  model::LeafName leaf;
  model::ZoneName zone;
  std::string region;
  /// Concurrent requests that the leaf can run now; 1 while it is cold.
  std::uint32_t slots = 1;
  /// base::Hash64 of the leaf's name, for the choice by fingerprint.
  std::uint64_t name_hash = 0;

  friend bool operator==(const Replica&, const Replica&) = default;
};

}  // namespace berylreach::routing
