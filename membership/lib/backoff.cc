// Exponential backoff with jitter.
#include "berylreach/membership/backoff.h"

#include <algorithm>
#include <chrono>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

// Bounds the shift; the delay reaches `kMaxStoreRetryInterval` before that.
constexpr int kMaxDoublings = 4;

}  // namespace

base::Duration Backoff::NextDelay() {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const auto delay =
      std::min(kStoreRetryInterval * (1 << doublings), kMaxStoreRetryInterval);
  // In milliseconds.
  std::uniform_int_distribution<int> jitter(0, 250);
  return delay + std::chrono::milliseconds(jitter(random_));
}

}  // namespace berylreach::membership
