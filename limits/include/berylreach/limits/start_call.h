// Action that starts a call on a leaf.
#pragma once

#include "berylreach/base/clock.h"
#include "berylreach/model/leaf_call.h"

namespace berylreach::limits {

/// Asks the core to send `call` to its leaf now. The outcome is reported with
/// LeafGate::OnResult.
struct StartCall {
  model::LeafCall call;
  /// The earlier of the call's deadline and the expiry of the owner's serving
  /// lease, on the owner's clock. The call must not be sent after this time;
  /// the leaf receives it, converted to wall-clock time, as the call's
  /// deadline.
  base::TimePoint not_after;

  friend bool operator==(const StartCall&, const StartCall&) = default;
};

}  // namespace berylreach::limits
