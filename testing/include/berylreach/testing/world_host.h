// One host process of a World.
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

/// A host core with what its process would keep around it.
struct World::Host {
  std::string name;
  std::uint64_t incarnation = 0;
  std::unique_ptr<core::HostCore> core;
  bool frozen = false;
  /// Events that arrived while the process stood still.
  std::vector<std::function<void()>> delayed;
  base::TimePoint tick_at = base::TimePoint::max();
  std::vector<model::Leaf> status_leaves;
  /// Rises with each change of `status_leaves`, to end the reads of the
  /// previous set.
  std::uint64_t status_generation = 0;
  std::set<std::string> peers;
  /// When a refused connection was last reported, by peer.
  std::map<std::string, base::TimePoint> refused_at;
};

}  // namespace berylreach::testing
