// Action: write a call to the leaf.
#pragma once

#include "berylreach/base/clock.h"
#include "berylreach/model/leaf_call.h"

namespace berylreach::limits {

/// Asks the core to write `call` to its leaf now. The outcome is reported with
/// LeafGate::OnResult.
struct StartCall {
  model::LeafCall call;
  /// The earlier of the call's deadline and the lease expiry, on the owner's
  /// clock. Nothing may be written later, and the leaf's deadline is this time.
  base::TimePoint not_after;

  friend bool operator==(const StartCall&, const StartCall&) = default;
};

}  // namespace berylreach::limits
