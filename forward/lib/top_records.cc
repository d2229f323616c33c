// Selects the greatest records with a bounded heap.
#include "berylreach/forward/top_records.h"

#include <algorithm>
#include <functional>

namespace berylreach::forward {

std::string TopRecords(const std::vector<std::string_view>& bodies,
                       std::size_t record_bytes, std::size_t count) {
  // Min-heap of the greatest records so far; its top is evicted first.
  std::vector<std::string_view> best;
  best.reserve(count + 1);
  const std::greater<> greater;
  for (const std::string_view body : bodies) {
    for (std::size_t offset = 0; offset + record_bytes <= body.size();
         offset += record_bytes) {
      const std::string_view record = body.substr(offset, record_bytes);
      if (best.size() == count) {
        if (count == 0 || record <= best.front()) continue;
        std::pop_heap(best.begin(), best.end(), greater);
        best.pop_back();
      }
      best.push_back(record);
      std::push_heap(best.begin(), best.end(), greater);
    }
  }
  std::sort(best.begin(), best.end(), greater);
  std::string merged;
  merged.reserve(best.size() * record_bytes);
  for (const std::string_view record : best) merged.append(record);
  return merged;
}

}  // namespace berylreach::forward
