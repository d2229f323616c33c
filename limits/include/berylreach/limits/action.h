// Actions that a leaf gate asks the core to execute.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/limits/cancel_running.h"
#include "berylreach/limits/reply.h"
#include "berylreach/limits/start_call.h"

namespace berylreach::limits {

using Action = std::variant<StartCall, CancelRunning, Reply>;
using Actions = std::vector<Action>;

}  // namespace berylreach::limits
