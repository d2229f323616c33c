// A call that was running on a leaf when the leaf crashed.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// One call on a crashed leaf.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  /// The call ran as a suspect, and no other call ran on the leaf.
  bool exclusive = false;
  /// LeafIdOf the leaf if the call was a canary; 0 otherwise.
  std::uint64_t canary_leaf = 0;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::quarantine
