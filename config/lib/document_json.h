// Documents as JSON values in canonical order. Private to the package.
#pragma once

#include <boost/json.hpp>

#include "berylreach/model/environment.h"

namespace berylreach::config {

namespace json = boost::json;

/// The document without its services.
json::object RestToJson(const model::Environment& environment);

json::object ServiceToJson(const model::Service& service);

json::object DocumentToJson(const model::Environment& environment);

/// Sorts zones, services and leaves by name and request kinds by their enum.
void SortDocument(model::Environment& environment);

}  // namespace berylreach::config
