// Action: a document was rejected as invalid.
#pragma once

#include "berylreach/base/finding.h"
#include "berylreach/model/document_ref.h"

namespace berylreach::rollout {

/// The manifest of `document` cannot be read, or its parts do not form a valid
/// environment.
struct DocumentRejected {
  model::DocumentRef document;
  base::Findings findings;

  friend bool operator==(const DocumentRejected&,
                         const DocumentRejected&) = default;
};

}  // namespace berylreach::rollout
