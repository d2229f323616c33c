// The actions that document rollout requests from its caller.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/rollout/document_in_force.h"
#include "berylreach/rollout/document_rejected.h"
#include "berylreach/rollout/read_part.h"
#include "berylreach/rollout/record_event.h"
#include "berylreach/rollout/send_to.h"

namespace berylreach::rollout {

/// One action that the caller must carry out.
using Action = std::variant<SendTo, ReadPart, DocumentInForce, DocumentRejected,
                            RecordEvent>;

/// Actions in the order in which they must be carried out.
using Actions = std::vector<Action>;

}  // namespace berylreach::rollout
