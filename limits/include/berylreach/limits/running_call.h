// A call that may be running on a leaf.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::limits {

/// Bookkeeping of one started call.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  base::TimePoint started_at;
  base::TimePoint not_after;
  /// ConcurrencyLimit::generation() at the start.
  std::uint64_t generation = 0;
  /// Nothing else may run on the leaf with it.
  bool alone = false;
  /// No other canary of the fingerprint may run on the leaf with it.
  bool canary = false;
  /// The answer was lost or timed out and the sender has its reply; the slot
  /// stays taken since the leaf may still run the call.
  bool unproven = false;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::limits
