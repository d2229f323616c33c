// Action: withdraw a leaf call.
#pragma once

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// Withdraw the call `id` at the host that it was sent to.
struct CancelCall {
  model::HostName to;
  model::CallId id;
  /// Leave the call alone if it is running.
  bool only_if_queued = false;

  friend bool operator==(const CancelCall&, const CancelCall&) = default;
};

}  // namespace berylreach::query
