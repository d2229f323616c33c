// The message that publishes leaf states.
#pragma once

#include <vector>

#include "berylreach/model/leaf_state.h"

namespace berylreach::model {

/// States of some leaves that the sender owns.
struct LeafStates {
  std::vector<LeafState> states;

  friend bool operator==(const LeafStates&, const LeafStates&) = default;
};

}  // namespace berylreach::model
