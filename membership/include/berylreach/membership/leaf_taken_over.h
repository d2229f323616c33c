// Action: the end of the wait before work on a leaf.
#pragma once

#include "berylreach/model/names.h"

namespace berylreach::membership {

/// This host may now start work on `leaf` while it holds a lease.
struct LeafTakenOver {
  model::LeafName leaf;

  friend bool operator==(const LeafTakenOver&, const LeafTakenOver&) = default;
};

}  // namespace berylreach::membership
