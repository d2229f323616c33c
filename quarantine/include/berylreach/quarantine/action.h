// Actions of the quarantine.
#pragma once

#include <variant>

#include "berylreach/quarantine/publish_suspects.h"

namespace berylreach::quarantine {

/// What the host must do after an event.
using Action = std::variant<PublishSuspects>;

}  // namespace berylreach::quarantine
