// Withdraws a leaf call.
#pragma once

#include "berylreach/model/call_id.h"

namespace berylreach::model {

/// The sender no longer needs the call; the owner drops it if queued and
/// cancels it if running. A queued call is answered with kNotSent.
struct LeafCancel {
  CallId id;
  /// The call has been sent to another leaf as well: drop it if queued, but let
  /// it go on if running.
  bool only_if_queued = false;

  friend bool operator==(const LeafCancel&, const LeafCancel&) = default;
};

}  // namespace berylreach::model
