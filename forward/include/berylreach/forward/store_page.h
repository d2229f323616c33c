// A page of records of the store.
#pragma once

#include <vector>

#include "berylreach/forward/change_log.h"
#include "berylreach/forward/store_position.h"

namespace berylreach::forward {

/// One page of a listing, or the changes reported by a watch.
struct StorePage {
  std::vector<RecordChange> changes;
  /// Position of the store when it built the page.
  StorePosition position;
  /// More pages follow; the next one starts after the last key.
  bool truncated = false;

  friend bool operator==(const StorePage&, const StorePage&) = default;
};

}  // namespace berylreach::forward
