// Identity of one call.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylreach::model {

/// Identifies one request or leaf call. `incarnation` is drawn at random when a
/// host process starts and `counter` only rises, so an id is never reused, not
/// even after a restart.
struct CallId {
  std::uint64_t incarnation = 0;
  std::uint64_t counter = 0;

  // The check mistakes the 0 of the rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CallId&, const CallId&) = default;
};

/// Text form used in HTTP bodies: two 16-digit hexadecimal numbers joined by
/// '-'.
std::string ToString(const CallId& id);

/// Reads the text form; nothing if `text` is not exactly that form.
std::optional<CallId> ParseCallId(std::string_view text);

}  // namespace berylreach::model

template <>
struct std::hash<berylreach::model::CallId> {
  std::size_t operator()(const berylreach::model::CallId& id) const {
    // Odd 64-bit multiplier (2^64 divided by the golden ratio) spreads
    // consecutive counters.
    return id.incarnation ^ (id.counter * 0x9E3779B97F4A7C15ULL);
  }
};
