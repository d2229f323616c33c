// Action that cancels a running call.
#pragma once

#include "berylreach/model/call_id.h"

namespace berylreach::limits {

/// Asks the core to send the leaf a cancellation of a started call. The call
/// keeps its slot until its result arrives or its deadline passes.
struct CancelRunning {
  model::CallId id;

  friend bool operator==(const CancelRunning&, const CancelRunning&) = default;
};

}  // namespace berylreach::limits
