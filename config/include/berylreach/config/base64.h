// Base64 of the store's values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylreach::config {

/// Decodes padded base64 of RFC 4648; nothing for any other text.
std::optional<std::string> DecodeBase64(std::string_view text);

/// Padded base64 of RFC 4648.
std::string EncodeBase64(std::string_view bytes);

}  // namespace berylreach::config
