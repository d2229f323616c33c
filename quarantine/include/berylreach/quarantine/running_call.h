// A call that was running on a leaf when the leaf crashed.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// One call on a crashed leaf.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  /// The request was suspect, and no other call ran on the leaf at the same
  /// time.
  bool exclusive = false;
  /// The id of the leaf (LeafIdOf) if the call was a canary; 0 otherwise.
  std::uint64_t canary_leaf = 0;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::quarantine
