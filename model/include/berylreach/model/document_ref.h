// A reference to an accepted document.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace berylreach::model {

/// Version and content hash of a document. Versions only increase; version 0
/// means that there is no document.
struct DocumentRef {
  std::uint64_t version = 0;
  /// Hash of the manifest part.
  std::string hash;

  friend auto operator<=>(const DocumentRef&, const DocumentRef&) = default;
};

}  // namespace berylreach::model
