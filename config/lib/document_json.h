// Converts documents to canonical JSON values. Private to the package.
#pragma once

#include <boost/json.hpp>

#include "berylreach/model/environment.h"

namespace berylreach::config {

namespace json = boost::json;

/// The document without its services: its name and zones. A manifest calls this
/// part "rest".
json::object NameAndZonesToJson(const model::Environment& environment);

json::object ServiceToJson(const model::Service& service);

json::object DocumentToJson(const model::Environment& environment);

/// Sorts zones, services and leaves by name and request kinds by enumerator.
void SortDocument(model::Environment& environment);

}  // namespace berylreach::config
