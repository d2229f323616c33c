// Splits documents into content-addressed parts and assembles them again.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/parsed.h"

namespace berylreach::config {

/// One part of a document: a value of the store key
/// `<environment>/parts/<hash>`.
struct DocumentPart {
  /// base::ContentHash of `bytes`.
  std::string hash;
  std::string bytes;

  friend bool operator==(const DocumentPart&, const DocumentPart&) = default;
};

/// A document split into parts. The hash of the manifest identifies the
/// document.
struct DocumentParts {
  DocumentPart manifest;
  /// First the part with the deployment's name and zones, then one part per
  /// service, sorted by the name of the service.
  std::vector<DocumentPart> parts;

  friend bool operator==(const DocumentParts&, const DocumentParts&) = default;
};

/// Validates a document and splits it into parts. Documents with the same
/// content have the same hashes whatever their white space and order. A service
/// whose part is larger than kMaxStoreValueBytes is a finding.
Parsed<DocumentParts> SplitDocument(std::string_view bytes);

/// Parses a manifest and returns the hashes of all parts that it refers to, in
/// the order of `DocumentParts::parts`.
Parsed<std::vector<std::string>> ListPartHashes(std::string_view manifest);

/// Assembles the canonical document from the parts that `manifest` refers to.
/// `parts` may be in any order and contain other parts too. Each missing part
/// is a finding; a part whose bytes do not match its hash counts as missing.
/// The caller must have verified the hash of the manifest, and must parse the
/// result to validate it.
Parsed<std::string> AssembleDocument(std::string_view manifest,
                                     const std::vector<std::string>& parts);

}  // namespace berylreach::config
