// Remembers the keys of the pages so far.
#include "berylreach/forward/listing_cursor.h"

#include <algorithm>

namespace berylreach::forward {

bool ListingCursor::Accepts(const StorePage& page) const {
  return !page.truncated ||
         std::any_of(page.changes.begin(), page.changes.end(),
                     [this](const RecordChange& item) {
                       return !keys_.contains(item.key);
                     });
}

void ListingCursor::Advance(const StorePage& page) {
  for (const RecordChange& item : page.changes) keys_.insert(item.key);
  if (!page.changes.empty()) after_ = page.changes.back().key;
}

}  // namespace berylreach::forward
