// Base64 decoding. Private to the package.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylreach::berylctl {

/// Decodes padded standard base64; nothing for any other text.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace berylreach::berylctl
