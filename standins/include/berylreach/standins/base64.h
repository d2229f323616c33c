// Base64 encoder for the store stand-in, independent of the code of the store
// client.
#pragma once

#include <string>
#include <string_view>

namespace berylreach::standins {

/// Encodes `bytes` as padded base64 (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);

}  // namespace berylreach::standins
