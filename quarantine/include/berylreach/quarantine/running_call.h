// A call that was running on a leaf when it died.
#pragma once

#include <cstdint>

namespace berylreach::quarantine {

/// One fingerprint on a dead leaf.
struct RunningCall {
  std::uint64_t fingerprint = 0;
  /// The call ran as a suspect, with nothing else on the leaf.
  bool alone = false;
  /// LeafIdOf the leaf if the call was a canary, else 0.
  std::uint64_t canary_leaf = 0;

  friend bool operator==(const RunningCall&, const RunningCall&) = default;
};

}  // namespace berylreach::quarantine
