// A call that may be running on a leaf.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::limits {

/// State of one started call.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  base::TimePoint started_at;
  /// The deadline that the leaf received. If no result arrives, the slot is
  /// freed kResultGrace later.
  base::TimePoint not_after;
  /// ConcurrencyLimit::generation() when the call started.
  std::uint64_t generation = 0;
  /// No other call may run on the leaf at the same time.
  bool exclusive = false;
  /// No other canary of the same fingerprint may run on the leaf at the same
  /// time.
  bool canary = false;
  /// The call was lost or timed out without an answer of the leaf, and the
  /// sender has its reply. The slot stays occupied, since the leaf may still be
  /// running the call.
  bool unanswered = false;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::limits
