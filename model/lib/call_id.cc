// Formats and parses the text form of call ids.
#include "berylreach/model/call_id.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace berylreach::model {
namespace {

/// Digits of a 64-bit number in hexadecimal.
constexpr std::size_t kHexDigits = 16;

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

}  // namespace

std::string ToString(const CallId& id) {
  std::array<char, 2 * kHexDigits + 2> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "-%016" PRIx64,
                id.incarnation, id.counter);
  return std::string(text.data(), text.size() - 1);
}

std::optional<CallId> ParseCallId(std::string_view text) {
  if (text.size() != 2 * kHexDigits + 1 || text[kHexDigits] != '-')
    return std::nullopt;
  const auto incarnation = ParseHex(text.substr(0, kHexDigits));
  const auto counter = ParseHex(text.substr(kHexDigits + 1));
  if (!incarnation || !counter) return std::nullopt;
  return CallId{*incarnation, *counter};
}

}  // namespace berylreach::model
