// Actions that the gate of a leaf asks the core to execute.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/limits/cancel_running.h"
#include "berylreach/limits/reply.h"
#include "berylreach/limits/start_call.h"

namespace berylreach::limits {

/// Starts a call on the leaf, cancels a running call, or answers the host that
/// sent a call. LeafGate decides which of these happens when.
using Action = std::variant<StartCall, CancelRunning, Reply>;
/// Actions in the order in which the gate requested them.
using Actions = std::vector<Action>;

}  // namespace berylreach::limits
