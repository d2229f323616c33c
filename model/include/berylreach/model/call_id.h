// The identifier of a request or leaf call.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylreach::model {

/// Identifies one request or leaf call. `incarnation` is drawn at random when
/// the host process starts and `counter` only increases, so an id is not reused
/// even after a restart.
struct CallId {
  std::uint64_t incarnation = 0;
  std::uint64_t counter = 0;

  // clang-tidy mistakes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CallId&, const CallId&) = default;
};

/// Text form used in HTTP bodies: incarnation and counter as two 16-digit
/// hexadecimal numbers joined by '-'.
std::string ToString(const CallId& id);

/// Parses the text form; returns nullopt if `text` does not match it exactly.
std::optional<CallId> ParseCallId(std::string_view text);

}  // namespace berylreach::model

template <>
struct std::hash<berylreach::model::CallId> {
  std::size_t operator()(const berylreach::model::CallId& id) const {
    // The odd 64-bit multiplier (2^64 divided by the golden ratio) distributes
    // consecutive counters over the hash values.
    return id.incarnation ^ (id.counter * 0x9E3779B97F4A7C15ULL);
  }
};
