// Action: send a leaf call.
#pragma once

#include "berylreach/model/leaf_call.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// Sends `call` to the host `to`. That is the owner of the leaf, or the arbiter
/// of the fingerprint if the call is marked `exclusive`. The arbiter forwards
/// such a call to the owner of the leaf once it has granted the run.
struct SendCall {
  model::HostName to;
  model::LeafCall call;

  friend bool operator==(const SendCall&, const SendCall&) = default;
};

}  // namespace berylreach::query
