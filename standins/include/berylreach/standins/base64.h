// Base64 for the store stand-in, independent of the client's code.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::standins {

/// Padded base64 of RFC 4648.
std::string EncodeBase64(std::string_view bytes);

}  // namespace berylreach::standins
