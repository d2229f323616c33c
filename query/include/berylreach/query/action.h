// Actions of a query runner.
#pragma once

#include <variant>

#include "berylreach/quarantine/publish_suspects.h"
#include "berylreach/query/cancel_call.h"
#include "berylreach/query/finish.h"
#include "berylreach/query/record_event.h"
#include "berylreach/query/send_call.h"

namespace berylreach::query {

/// What the host must do after an event.
using Action = std::variant<SendCall, CancelCall, Finish, RecordEvent,
                            quarantine::PublishSuspects>;

}  // namespace berylreach::query
