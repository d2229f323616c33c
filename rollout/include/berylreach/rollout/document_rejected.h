// Action: a document cannot be put in force.
#pragma once

#include "berylreach/base/finding.h"
#include "berylreach/model/document_ref.h"

namespace berylreach::rollout {

/// All parts of `document` are present but do not form a valid environment.
struct DocumentRejected {
  model::DocumentRef document;
  base::Findings findings;

  friend bool operator==(const DocumentRejected&,
                         const DocumentRejected&) = default;
};

}  // namespace berylreach::rollout
