// The state of a leaf as published by its owner.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// Whether a leaf can take new work.
enum class LeafHealth : std::uint8_t {
  kUsable,
  kCold,      ///< Usable, with a concurrency limit of one.
  kDraining,  ///< Leaving; takes no new work.
  kDown,      ///< Does not answer, or refuses connections.
};

/// State of one leaf as known to its owner. A state replaces another state of
/// the same leaf if its pair (epoch, sequence) is higher.
struct LeafState {
  LeafName leaf;
  HostName owner;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  LeafHealth health = LeafHealth::kUsable;
  std::vector<Holding> holdings;

  friend bool operator==(const LeafState&, const LeafState&) = default;
};

}  // namespace berylreach::model
