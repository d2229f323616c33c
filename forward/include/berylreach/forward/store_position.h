// A point in the history of the metadata store.
#pragma once

#include <compare>
#include <cstdint>

namespace berylreach::forward {

/// Era and revision of the store. The revision rises with each change. When the
/// store comes back from an older copy of itself, the era rises, and revisions
/// after that of the copy are given out again for other changes.
struct StorePosition {
  /// 0 if the store does not state its era.
  std::uint64_t era = 0;
  /// 0 stands for no view of the store.
  std::uint64_t revision = 0;

  // The check takes the 0 of rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

}  // namespace berylreach::forward
