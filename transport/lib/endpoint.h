// Parses and formats IP endpoints.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "io.h"

namespace berylreach::transport {

/// Parses an endpoint such as "10.0.0.7:8080" or "[::1]:8080". Returns nullopt
/// for anything else, such as a host name.
std::optional<tcp::endpoint> ParseEndpoint(std::string_view text);

/// Formats an endpoint as ParseEndpoint accepts it.
std::string ToString(const tcp::endpoint& endpoint);

}  // namespace berylreach::transport
