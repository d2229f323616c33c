// Progress of a listing that the store sends page by page.
#pragma once

#include <string>
#include <unordered_set>

#include "berylreach/forward/store_page.h"

namespace berylreach::forward {

/// Knows where the next page of a listing starts. Whatever the store sends, a
/// listing ends: each page that is not the last one must bring a new key. Keys
/// are compared for equality only, since their order is the store's.
class ListingCursor {
 public:
  /// Whether `page` is the last one or brings a key that no page before it has
  /// brought. Otherwise the listing would never end.
  bool Accepts(const StorePage& page) const;
  /// Moves behind `page`, which must be accepted.
  void Advance(const StorePage& page);

  bool at_start() const { return after_.empty(); }
  /// The next page starts after this key; empty at the start.
  const std::string& after() const { return after_; }

 private:
  std::string after_;
  std::unordered_set<std::string> keys_;
};

}  // namespace berylreach::forward
