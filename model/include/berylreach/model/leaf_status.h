// The result of polling a leaf's status endpoint.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/holding.h"
#include "berylreach/model/names.h"

namespace berylreach::model {

/// What a leaf reports about itself. The report may be out of date, so evidence
/// from calls takes precedence.
struct LeafStatus {
  LeafName leaf;
  /// False if the leaf refused the connection or gave no valid answer before
  /// the timeout; `incarnation` and the fields after it are then unset.
  bool reachable = false;
  /// True if the leaf is unreachable because it refused the connection.
  bool connection_refused = false;
  /// Incarnation of the leaf process; 0 if unreachable.
  std::uint64_t incarnation = 0;
  bool draining = false;
  std::vector<Holding> holdings;

  friend bool operator==(const LeafStatus&, const LeafStatus&) = default;
};

}  // namespace berylreach::model
