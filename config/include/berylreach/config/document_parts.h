// Content-addressed parts of documents.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/parsed.h"

namespace berylreach::config {

/// One value of the store key `<environment>/parts/<hash>`.
struct DocumentPart {
  /// base::ContentHash of `bytes`.
  std::string hash;
  std::string bytes;

  friend bool operator==(const DocumentPart&, const DocumentPart&) = default;
};

/// A document cut into parts. The hash of the manifest identifies the document.
struct DocumentParts {
  DocumentPart manifest;
  /// The part with name and zones first, then one part per service by name.
  std::vector<DocumentPart> parts;

  friend bool operator==(const DocumentParts&, const DocumentParts&) = default;
};

/// Checks a document and cuts it into parts. The same content gives the same
/// hashes, whatever the white space and order of the input. A service whose
/// part is above what the store takes is a finding.
Parsed<DocumentParts> SplitDocument(std::string_view bytes);

/// Hashes of all parts that a manifest names, in the order of
/// `DocumentParts::parts`.
Parsed<std::vector<std::string>> ListParts(std::string_view manifest);

/// Joins the parts that `manifest` names into the canonical document. `parts`
/// may be in any order and hold more parts. Findings name missing parts; a part
/// whose bytes do not have the wanted hash counts as missing. The caller has
/// checked the hash of the manifest, and parses the result.
Parsed<std::string> AssembleDocument(std::string_view manifest,
                                     const std::vector<std::string>& parts);

}  // namespace berylreach::config
