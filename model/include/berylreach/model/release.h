// The message that releases the ownership of leaves.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// States that the sender is at `epoch` and has no running work on leaves that
/// it does not own at that epoch, except on the leaves in `held_leaves`.
struct Release {
  std::uint64_t epoch = 0;
  std::vector<LeafName> held_leaves;

  friend bool operator==(const Release&, const Release&) = default;
};

}  // namespace berylreach::model
