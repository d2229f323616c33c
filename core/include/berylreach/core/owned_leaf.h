// One leaf at its owner.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/limits/leaf_gate.h"
#include "berylreach/model/leaf.h"
#include "berylreach/model/leaf_state.h"
#include "berylreach/model/leaf_status.h"

namespace berylreach::core {

/// A leaf that this host owns, or owned and still has work on.
struct OwnedLeaf {
  OwnedLeaf(const base::Clock& clock, model::Leaf description)
      : leaf(std::move(description)), gate(clock, leaf.name, leaf.slots) {}

  model::Leaf leaf;
  limits::LeafGate gate;
  /// False once ownership has moved; the entry stays until its work has ended.
  bool owned = true;
  /// The takeover is complete, so that calls start.
  bool open = false;
  /// A status or an answer has been received since the leaf became owned.
  bool known = false;
  bool reachable = false;
  bool status_draining = false;
  bool listed_leaving = false;
  std::uint64_t incarnation = 0;
  std::vector<model::Holding> holdings;
  /// The state published last; sequence 0 if none.
  model::LeafState published;

  /// What the owner says about the leaf now.
  model::LeafHealth Health() const;

  /// Whether calls run or wait on the leaf.
  bool HasWork() const { return gate.running() > 0 || gate.queued() > 0; }
};

}  // namespace berylreach::core
