// The answer of a leaf's status endpoint.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::transport {

/// Result of one status read.
struct LeafStatus {
  model::LeafName leaf;
  /// False if the leaf refused the connection or gave no valid answer in time;
  /// the other fields are then unset.
  bool reachable = false;
  /// The connection was refused, as opposed to unanswered.
  bool refused = false;
  std::uint64_t incarnation = 0;
  bool draining = false;
  std::vector<model::Holding> holdings;

  friend bool operator==(const LeafStatus&, const LeafStatus&) = default;
};

}  // namespace berylreach::transport
