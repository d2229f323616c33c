// Serialized responses of the host's own. Private to the package.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::gateway {

/// The reason phrase of a status that the host itself sends.
std::string_view ReasonOf(int status);

/// A complete response; `fields` are lines with CRLF.
std::string ResponseBytes(int status, std::string_view reason,
                          std::string_view fields, std::string_view body,
                          bool keep_alive);

}  // namespace berylreach::gateway
