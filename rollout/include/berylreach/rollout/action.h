// The actions that document rollout requests from the core.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/rollout/document_in_force.h"
#include "berylreach/rollout/document_rejected.h"
#include "berylreach/rollout/read_part.h"
#include "berylreach/rollout/record_event.h"
#include "berylreach/rollout/send_to.h"

namespace berylreach::rollout {

/// One action that the core must carry out.
using Action = std::variant<SendTo, ReadPart, DocumentInForce, DocumentRejected,
                            RecordEvent>;

/// Actions in the order in which they must be carried out.
using Actions = std::vector<Action>;

}  // namespace berylreach::rollout
