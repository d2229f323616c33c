// Action: tell all hosts about changed entries.
#pragma once

#include "berylreach/model/suspect_update.h"

namespace berylreach::quarantine {

/// Send `update` to every member.
struct PublishSuspects {
  model::SuspectUpdate update;

  friend bool operator==(const PublishSuspects&,
                         const PublishSuspects&) = default;
};

}  // namespace berylreach::quarantine
