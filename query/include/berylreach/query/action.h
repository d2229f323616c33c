// The actions that a query runner requests from its host.
#pragma once

#include <variant>

#include "berylreach/quarantine/publish_suspects.h"
#include "berylreach/query/cancel_call.h"
#include "berylreach/query/finish.h"
#include "berylreach/query/record_event.h"
#include "berylreach/query/send_call.h"

namespace berylreach::query {

/// One action that the host must carry out after an event.
using Action = std::variant<SendCall, CancelCall, Finish, RecordEvent,
                            quarantine::PublishSuspects>;

}  // namespace berylreach::query
