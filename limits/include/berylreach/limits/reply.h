// Action that answers the sender of a leaf call.
#pragma once

#include "berylreach/model/leaf_reply.h"

namespace berylreach::limits {

/// Asks the core to send `reply` to the host that sent the call. Each call gets
/// exactly one reply.
struct Reply {
  model::LeafReply reply;

  friend bool operator==(const Reply&, const Reply&) = default;
};

}  // namespace berylreach::limits
