// Helpers to write JSON text. Private to the package.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/model/holding.h"

namespace berylreach::config {

namespace json = boost::json;

/// `text` as a JSON string in quotes, escaped.
std::string Quote(std::string_view text);

/// The 64-bit number `value` as 16 lower-case hexadecimal digits.
std::string ToHex(std::uint64_t value);

/// Milliseconds from the Unix epoch to `at`, rounded down.
std::int64_t ToUnixMs(std::chrono::system_clock::time_point at);

json::array ToJson(const std::vector<model::Holding>& holdings);

}  // namespace berylreach::config
