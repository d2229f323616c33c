// Least-recently-used set of fingerprints.
#include "berylreach/quarantine/proven_set.h"

namespace berylreach::quarantine {

void ProvenSet::Insert(std::uint64_t fingerprint) {
  const auto found = places_.find(fingerprint);
  if (found != places_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  if (capacity_ == 0) return;
  if (order_.size() == capacity_) {
    places_.erase(order_.back());
    order_.pop_back();
  }
  order_.push_front(fingerprint);
  places_.emplace(fingerprint, order_.begin());
}

void ProvenSet::Erase(std::uint64_t fingerprint) {
  const auto found = places_.find(fingerprint);
  if (found == places_.end()) return;
  order_.erase(found->second);
  places_.erase(found);
}

}  // namespace berylreach::quarantine
