// The message that cancels a leaf call.
#pragma once

#include "berylreach/model/call_id.h"

namespace berylreach::model {

/// Cancels a call that the sender no longer needs. The owner drops the call if
/// it is queued, answering kNotSent, and cancels it if it is running.
struct LeafCancel {
  CallId id;
  /// True if the call was also sent to another leaf: the owner drops it if it
  /// is queued but lets it continue if it is running.
  bool only_if_queued = false;

  friend bool operator==(const LeafCancel&, const LeafCancel&) = default;
};

}  // namespace berylreach::model
