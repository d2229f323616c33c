// Action that starts a call on the leaf.
#pragma once

#include "berylreach/base/clock.h"
#include "berylreach/model/leaf_call.h"

namespace berylreach::limits {

/// Asks the core to send `call` to its leaf now. The outcome is reported with
/// LeafGate::OnResult.
struct StartCall {
  model::LeafCall call;
  /// The earlier of the call's deadline and the lease expiry, on the owner's
  /// clock. The call must not be sent after this time, which is also the
  /// deadline that the leaf receives.
  base::TimePoint not_after;

  friend bool operator==(const StartCall&, const StartCall&) = default;
};

}  // namespace berylreach::limits
