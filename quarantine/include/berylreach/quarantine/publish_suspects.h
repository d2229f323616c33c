// Action: publish changed quarantine entries to all hosts.
#pragma once

#include "berylreach/model/suspect_update.h"

namespace berylreach::quarantine {

/// Asks the host to distribute `update` to all other hosts.
struct PublishSuspects {
  model::SuspectUpdate update;

  friend bool operator==(const PublishSuspects&,
                         const PublishSuspects&) = default;
};

}  // namespace berylreach::quarantine
