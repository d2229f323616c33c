// State of a leaf on the host that owns it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/limits/leaf_gate.h"
#include "berylreach/model/leaf.h"
#include "berylreach/model/leaf_state.h"
#include "berylreach/model/leaf_status.h"

namespace berylreach::core {

/// A leaf that this host owns, or has owned and still runs calls on.
struct OwnedLeaf {
  OwnedLeaf(const base::Clock& clock, model::Leaf description)
      : leaf(std::move(description)), gate(clock, leaf.name, leaf.slots) {}

  model::Leaf leaf;
  limits::LeafGate gate;
  /// False once ownership has moved to another host. The leaf is tracked until
  /// its calls have ended.
  bool owned = true;
  /// Whether the takeover is complete, so that calls may start.
  bool open = false;
  /// Whether a status, an answer or a failed connection has shown the state of
  /// the leaf since this host began to track it or its address changed.
  bool state_known = false;
  bool reachable = false;
  /// The status of the leaf says that it is draining.
  bool status_draining = false;
  /// The host list shows the leaf as leaving.
  bool listed_leaving = false;
  /// Last incarnation that the leaf reported; 0 if unknown.
  std::uint64_t incarnation = 0;
  std::vector<model::Holding> holdings;
  /// The state published last; its sequence is 0 if there is none.
  model::LeafState published;

  /// Health of the leaf that the owner should publish now.
  model::LeafHealth Health() const;

  /// Whether calls run or are queued on the leaf.
  bool HasWork() const { return gate.running() > 0 || gate.queued() > 0; }
};

}  // namespace berylreach::core
