// Withdraws a leaf call.
#pragma once

#include "berylreach/model/call_id.h"

namespace berylreach::model {

/// The sender no longer needs the call; the owner drops it if queued and
/// cancels it if running.
struct LeafCancel {
  CallId id;

  friend bool operator==(const LeafCancel&, const LeafCancel&) = default;
};

}  // namespace berylreach::model
