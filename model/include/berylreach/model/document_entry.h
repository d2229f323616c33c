// An entry of the document history.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/model/document_ref.h"

namespace berylreach::model {

/// An accepted document with its author and the time of its submission.
struct DocumentEntry {
  DocumentRef document;
  std::string author;
  std::chrono::system_clock::time_point submitted_at;
  /// Free text from the operator, or the origin of a promoted document.
  std::string note;

  friend bool operator==(const DocumentEntry&, const DocumentEntry&) = default;
};

}  // namespace berylreach::model
