// Simulated host process of a World.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "berylreach/core/host_core.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// A host core with the state that its process keeps outside of the core.
struct World::Host {
  std::string name;
  std::uint64_t incarnation = 0;
  std::unique_ptr<core::HostCore> core;
  bool frozen = false;
  /// Events that arrived while the process was frozen.
  std::vector<std::function<void()>> delayed;
  /// Time of the earliest scheduled tick.
  base::TimePoint tick_at = base::TimePoint::max();
  /// Leaves whose status the process reads.
  std::vector<model::Leaf> status_leaves;
  /// Incremented with each change of `status_leaves`, which ends the reads of
  /// the previous set.
  std::uint64_t status_generation = 0;
  /// Hosts to which the process keeps connections.
  std::set<std::string> peers;
  /// When a refused connection was last reported to the core, by peer.
  std::map<std::string, base::TimePoint> refused_at;
};

}  // namespace berylreach::testing
