// Action: the head record names a newer document.
#pragma once

#include "berylreach/model/document_ref.h"

namespace berylreach::membership {

/// The head record names `document`, which is newer than any announced before.
struct DocumentAnnounced {
  model::DocumentRef document;

  friend bool operator==(const DocumentAnnounced&,
                         const DocumentAnnounced&) = default;
};

}  // namespace berylreach::membership
