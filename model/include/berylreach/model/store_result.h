// The outcome of a store call.
#pragma once

#include <cstdint>
#include <string>

namespace berylreach::model {

/// How a store call ended.
enum class StoreOutcome : std::uint8_t {
  kOk,        ///< The value was read, or the compare-and-swap was applied.
  kAbsent,    ///< The key does not exist.
  kConflict,  ///< The compare-and-swap found a revision other than expected.
  kUnknown,   ///< No answer; a write may or may not have taken effect.
};

/// Result of the StoreRequest with the same `id`.
struct StoreResult {
  std::uint64_t id = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::string value;
  std::uint64_t revision = 0;

  friend bool operator==(const StoreResult&, const StoreResult&) = default;
};

}  // namespace berylreach::model
