// Action: cancel a call at the leaf.
#pragma once

#include "berylreach/model/call_id.h"

namespace berylreach::limits {

/// Asks the core to send a cancellation of a started call to the leaf. The call
/// keeps its slot until its result arrives or its deadline has passed.
struct CancelRunning {
  model::CallId id;

  friend bool operator==(const CancelRunning&, const CancelRunning&) = default;
};

}  // namespace berylreach::limits
