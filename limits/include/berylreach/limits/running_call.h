// A call that may be running on a leaf.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::limits {

/// State of one started call.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  base::TimePoint started_at;
  /// When the slot is freed if no result has arrived, kResultGrace aside.
  base::TimePoint not_after;
  /// ConcurrencyLimit::generation() when the call started.
  std::uint64_t generation = 0;
  /// No other call may run on the leaf at the same time.
  bool exclusive = false;
  /// No other canary of the same fingerprint may run on the leaf at the same
  /// time.
  bool canary = false;
  /// The answer was lost or timed out and the sender has its reply. The slot
  /// stays occupied, since the leaf may still be running the call.
  bool unproven = false;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::limits
