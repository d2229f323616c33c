// The time around an outage of the store in which entries may be missing.
#pragma once

#include <algorithm>
#include <utility>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// Decides whether an entry that the store no longer lists may only have
/// expired or been lost, although its owner is alive: while the store is
/// unreachable, and for some time after it is reachable again or has come back
/// from an older copy of itself. Not thread-safe.
class StoreReturnGrace {
 public:
  /// Owners have written their entries again `length` after the store's return.
  StoreReturnGrace(const base::Clock& clock, base::Duration length)
      : clock_(clock), length_(length) {}

  void OnStoreLost() { lost_ = true; }
  void OnStoreRegained() {
    if (std::exchange(lost_, false)) Extend();
  }
  void OnStoreRestored() { Extend(); }

  bool IsActive() const { return lost_ || clock_.Now() < until_; }

 private:
  void Extend() { until_ = std::max(until_, clock_.Now() + length_); }

  const base::Clock& clock_;
  const base::Duration length_;
  bool lost_ = false;
  base::TimePoint until_{};
};

}  // namespace berylreach::forward
