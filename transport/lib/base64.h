// Base64 of the store's values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylreach::transport {

std::string EncodeBase64(std::string_view bytes);

/// Nothing if `text` is not padded base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace berylreach::transport
