// Action: send a leaf call.
#pragma once

#include "berylreach/model/leaf_call.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// Sends `call` to the host `to`: to the owner of the leaf, or, if the call is
/// marked `exclusive`, to the arbiter of the fingerprint. The arbiter forwards
/// the call to the owner of the leaf once it has granted the run.
struct SendCall {
  model::HostName to;
  model::LeafCall call;

  friend bool operator==(const SendCall&, const SendCall&) = default;
};

}  // namespace berylreach::query
