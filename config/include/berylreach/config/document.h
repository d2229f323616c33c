// Documents of the operators.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/environment.h"

namespace berylreach::config {

/// Parses and checks a document (design page, section 4.1). Zones, services and
/// leaves of the result are sorted by name and request kinds by their enum, so
/// that documents with the same content give equal values.
Parsed<model::Environment> ParseDocument(std::string_view bytes);

/// Canonical JSON of a document: fixed member order, lists in the order of
/// ParseDocument, no white space.
std::string EncodeDocument(const model::Environment& environment);

}  // namespace berylreach::config
