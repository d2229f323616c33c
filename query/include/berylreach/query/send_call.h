// Action: send a leaf call.
#pragma once

#include "berylreach/model/leaf_call.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// Send `call` to `to`: the owner of the leaf, or the fingerprint's arbiter if
/// the call is marked `alone`. The arbiter passes it on to the owner once it
/// has granted the run.
struct SendCall {
  model::HostName to;
  model::LeafCall call;

  friend bool operator==(const SendCall&, const SendCall&) = default;
};

}  // namespace berylreach::query
