// The announcement of a newer document to a peer.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// Notifies a peer of a document. The peer then requests the parts that it
/// lacks.
struct DocumentOffer {
  DocumentRef document;

  friend bool operator==(const DocumentOffer&, const DocumentOffer&) = default;
};

}  // namespace berylreach::model
