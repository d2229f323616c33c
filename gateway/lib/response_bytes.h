// Serialization of HTTP responses. Private to the package.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::gateway {

/// Returns the reason phrase of a status that this host sends.
std::string_view ReasonOf(int status);

/// Serializes a complete response. `fields` holds header lines that end with
/// CRLF.
std::string ResponseBytes(int status, std::string_view reason,
                          std::string_view fields, std::string_view body,
                          bool keep_alive);

}  // namespace berylreach::gateway
