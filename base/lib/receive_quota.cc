// Gives up the largest responses when the quota is used up.
#include "berylreach/base/receive_quota.h"

#include <algorithm>

namespace berylreach::base {

bool ReceiveQuota::Take(Holder& holder, std::size_t bytes) {
  const auto found = reserved_.find(&holder);
  const std::size_t before = found == reserved_.end() ? 0 : found->second;
  while (bytes > available_)
    if (!GiveUpLargest(before + bytes)) return false;
  available_ -= bytes;
  reserved_[&holder] += bytes;
  return true;
}

void ReceiveQuota::Return(Holder& holder) {
  const auto found = reserved_.find(&holder);
  if (found == reserved_.end()) return;
  available_ += found->second;
  reserved_.erase(found);
}

bool ReceiveQuota::GiveUpLargest(std::size_t bytes) {
  const auto largest = std::max_element(
      reserved_.begin(), reserved_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (largest == reserved_.end() || largest->second <= bytes) return false;
  largest->first->GiveUp();
  return true;
}

}  // namespace berylreach::base
