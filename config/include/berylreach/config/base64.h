// Base64 encoding, which the store's interface uses for values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylreach::config {

/// Decodes padded base64 (RFC 4648); returns nullopt for any other text.
std::optional<std::string> DecodeBase64(std::string_view text);

/// Encodes `bytes` as padded base64 (RFC 4648).
std::string EncodeBase64(std::string_view bytes);

}  // namespace berylreach::config
