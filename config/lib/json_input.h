// Parses bounded JSON text. Private to the package, so that Boost.JSON stays
// out of public headers.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/base/finding.h"

namespace berylreach::config {

namespace json = boost::json;

/// Parses `text`, which must be one JSON value of at most `max_bytes` in UTF-8
/// without repeated members. Nothing, with findings, otherwise.
std::optional<json::value> ParseJson(std::string_view text,
                                     std::size_t max_bytes,
                                     base::Findings& findings);

/// JSON pointer of the member or element `child` of the value at `place`.
std::string ChildPlace(std::string_view place, std::string_view child);
std::string ChildPlace(std::string_view place, std::size_t index);

}  // namespace berylreach::config
