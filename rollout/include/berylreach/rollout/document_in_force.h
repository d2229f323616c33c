// Action: a document came into force.
#pragma once

#include "berylreach/model/document_ref.h"

namespace berylreach::rollout {

/// Rollout::current() and Rollout::environment() changed to `document`.
struct DocumentInForce {
  model::DocumentRef document;

  friend bool operator==(const DocumentInForce&,
                         const DocumentInForce&) = default;
};

}  // namespace berylreach::rollout
