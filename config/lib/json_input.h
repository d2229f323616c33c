// Parses JSON text of limited size and depth. Private to the package, so that
// its public headers do not include Boost.JSON.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/base/finding.h"

namespace berylreach::config {

namespace json = boost::json;

/// Parses `text`, which must be a single JSON value in UTF-8 of at most
/// `max_bytes` bytes, nested at most kMaxDepth deep, without repeated members.
/// Otherwise adds findings and returns nullopt.
std::optional<json::value> ParseJson(std::string_view text,
                                     std::size_t max_bytes,
                                     base::Findings& findings);

/// JSON pointer to the member `child` of the object at `location`.
std::string ChildLocation(std::string_view location, std::string_view child);

/// JSON pointer to the element `index` of the array at `location`.
std::string ChildLocation(std::string_view location, std::size_t index);

}  // namespace berylreach::config
