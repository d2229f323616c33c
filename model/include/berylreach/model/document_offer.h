// Offer of a newer document.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// Tells a peer of a document; the peer requests the parts that it lacks.
struct DocumentOffer {
  DocumentRef document;

  friend bool operator==(const DocumentOffer&, const DocumentOffer&) = default;
};

}  // namespace berylreach::model
