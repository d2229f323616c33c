// Spacing of store calls after failures.
#pragma once

#include <cstdint>
#include <random>

#include "berylreach/base/clock.h"

namespace berylreach::membership {

/// Exponential backoff with jitter from a seeded generator.
class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : random_(seed) {}

  /// Records a failed call and returns the delay before its repeat, at least
  /// `kStoreRetryInterval`.
  base::Duration NextDelay();

  /// Records an answered call.
  void Reset() { failures_ = 0; }

 private:
  std::mt19937_64 random_;
  int failures_ = 0;
};

}  // namespace berylreach::membership
