// Which text can be the value of a header field.
#pragma once

#include <algorithm>
#include <string_view>

namespace berylreach::gateway {

/// Whether a header field with this value arrives as it was sent: not empty, no
/// control characters, and no space at either end, where receivers drop it.
inline bool CanBeFieldValue(std::string_view text) {
  if (text.empty() || text.front() == ' ' || text.back() == ' ') return false;
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

/// Whether the text is one word of visible ASCII characters. Receivers agree on
/// its bytes and on where it ends, so it can identify a peer in a header field.
inline bool CanBeIdentifier(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace berylreach::gateway
