// What the owner of a leaf publishes about it.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// Whether a leaf may be given new work.
enum class LeafHealth : std::uint8_t {
  kUsable,
  kCold,      ///< Usable with a concurrency limit of one.
  kDraining,  ///< Leaving: no new work.
  kDown,      ///< Refuses connections.
};

/// State of one leaf as known to its owner. A state replaces another of the
/// same leaf if its (epoch, sequence) is higher.
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
