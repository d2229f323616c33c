// Action: cancel a leaf call.
#pragma once

#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// Cancels the call `id` that was sent to the host `to`.
struct CancelCall {
  model::HostName to;
  model::CallId id;
  /// Cancel the call only while it is queued; a running call continues.
  bool only_if_queued = false;

  friend bool operator==(const CancelCall&, const CancelCall&) = default;
};

}  // namespace berylreach::query
