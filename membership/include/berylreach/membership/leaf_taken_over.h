// Action: the takeover of a leaf is complete.
#pragma once

#include "berylreach/model/names.h"

namespace berylreach::membership {

/// No other host can work on `leaf` any more; this host may work on it while it
/// holds a lease.
struct LeafTakenOver {
  model::LeafName leaf;

  friend bool operator==(const LeafTakenOver&, const LeafTakenOver&) = default;
};

}  // namespace berylreach::membership
