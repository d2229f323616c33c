// Evicts fingerprints in the order of their last use.
#include "berylreach/quarantine/proven_set.h"

namespace berylreach::quarantine {

void ProvenSet::Insert(std::uint64_t fingerprint) {
  const auto found = positions_.find(fingerprint);
  if (found != positions_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  if (capacity_ == 0) return;
  if (order_.size() == capacity_) {
    positions_.erase(order_.back());
    order_.pop_back();
  }
  order_.push_front(fingerprint);
  positions_.emplace(fingerprint, order_.begin());
}

void ProvenSet::Erase(std::uint64_t fingerprint) {
  const auto found = positions_.find(fingerprint);
  if (found == positions_.end()) return;
  order_.erase(found->second);
  positions_.erase(found);
}

}  // namespace berylreach::quarantine
