// Parses and encodes the documents that operators submit.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/environment.h"

namespace berylreach::config {

/// Parses and validates a document (docs/design.md, section 4.1). In the
/// result, zones, services and leaves are sorted by name and request kinds by
/// their enumerators, so that documents with the same content give equal
/// values.
Parsed<model::Environment> ParseDocument(std::string_view bytes);

/// Canonical JSON text of a document: members in a fixed order, lists sorted as
/// by ParseDocument, no white space.
std::string EncodeDocument(const model::Environment& environment);

}  // namespace berylreach::config
