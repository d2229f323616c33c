// Delays between retries of failed store calls.
#pragma once

#include <cstdint>
#include <random>

#include "berylreach/base/clock.h"

namespace berylreach::membership {

/// Exponential backoff with jitter. The jitter comes from a seeded generator,
/// so that tests are reproducible.
class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : random_(seed) {}

  /// Records a failed call and returns the delay before its retry, at least
  /// `kStoreRetryInterval`.
  base::Duration NextDelay();

  /// Records a call that the store answered; the next delay is the shortest
  /// again.
  void Reset() { failures_ = 0; }

 private:
  std::mt19937_64 random_;
  int failures_ = 0;
};

}  // namespace berylreach::membership
