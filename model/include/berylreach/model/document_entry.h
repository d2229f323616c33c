// An entry of the document history.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// A document that was accepted, with who submitted it and when.
struct DocumentEntry {
  DocumentRef document;
  std::string author;
  std::chrono::system_clock::time_point at;
  /// Free text of the operator, or the origin of a promotion.
  std::string note;

  friend bool operator==(const DocumentEntry&, const DocumentEntry&) = default;
};

}  // namespace berylreach::model
