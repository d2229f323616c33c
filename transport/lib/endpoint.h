// Text form of IP endpoints.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "io.h"

namespace berylreach::transport {

/// Reads "10.0.0.7:8080" or "[::1]:8080". Names are not resolved; nothing is
/// returned for them.
std::optional<tcp::endpoint> ParseEndpoint(std::string_view text);

/// The form that ParseEndpoint reads.
std::string ToString(const tcp::endpoint& endpoint);

}  // namespace berylreach::transport
