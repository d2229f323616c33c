// A call that waits for a free slot of its leaf.
#pragma once

#include "berylreach/base/clock.h"
#include "berylreach/model/leaf_call.h"

namespace berylreach::limits {

/// A leaf call with its deadline on the owner's clock.
struct QueuedCall {
  model::LeafCall call;
  base::TimePoint deadline;

  friend bool operator==(const QueuedCall&, const QueuedCall&) = default;
};

}  // namespace berylreach::limits
