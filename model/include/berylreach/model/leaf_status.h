// The result of reading a leaf's status endpoint.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// What a leaf says about itself. It may lag, so evidence from calls takes
/// precedence.
struct LeafStatus {
  LeafName leaf;
  /// False if the leaf refused the connection or gave no valid answer in time;
  /// the fields from `incarnation` on are then unset.
  bool reachable = false;
  /// The connection was refused, as opposed to unanswered.
  bool refused = false;
  /// Incarnation of the leaf process; 0 if unreachable.
  std::uint64_t incarnation = 0;
  bool draining = false;
  std::vector<Holding> holdings;

  friend bool operator==(const LeafStatus&, const LeafStatus&) = default;
};

}  // namespace berylreach::model
