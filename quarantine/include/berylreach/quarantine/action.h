// Actions that the quarantine requests from the host.
#pragma once

#include <variant>

#include "berylreach/quarantine/publish_suspects.h"

namespace berylreach::quarantine {

/// An action that the host must execute after an event.
using Action = std::variant<PublishSuspects>;

}  // namespace berylreach::quarantine
