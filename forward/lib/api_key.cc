// Hexadecimal digests.
#include "berylreach/forward/api_key.h"

namespace berylreach::forward {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr unsigned kBase = 16;

}  // namespace

std::optional<ApiKey> ApiKey::Parse(std::string_view digest) {
  base::Sha256Digest bytes{};
  if (digest.size() != 2 * bytes.size()) return std::nullopt;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::size_t high = kDigits.find(digest[2 * i]);
    const std::size_t low = kDigits.find(digest[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return std::nullopt;
    bytes[i] = static_cast<std::uint8_t>(high * kBase + low);
  }
  return ApiKey(bytes);
}

std::string ApiKey::Format() const {
  std::string text;
  text.reserve(2 * digest_.size());
  for (const std::uint8_t byte : digest_) {
    text += kDigits[byte / kBase];
    text += kDigits[byte % kBase];
  }
  return text;
}

}  // namespace berylreach::forward
