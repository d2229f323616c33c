// Encodes byte by byte.
#include "berylreach/base/percent_encoding.h"

namespace berylreach::base {
namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";

/// Whether a character stands for itself.
bool IsPlain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
         c == '~' || c == '/';
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (IsPlain(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += {'%', kHexDigits[byte / 16], kHexDigits[byte % 16]};
  }
  return encoded;
}

}  // namespace berylreach::base
