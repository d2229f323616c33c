// A small document and leaf states for the routing tests.
#pragma once

#include <string>
#include <vector>

#include "berylreach/model/environment.h"
#include "berylreach/model/leaf_state.h"

namespace berylreach::routing {

/// Returns a document with zones z0 and z1 in region r0, z2 in region r1, and
/// the service "desk" with one leaf per entry of `zones`. The leaves are named
/// l0, l1 and so on and have 2 slots each.
inline model::Environment MakeEnvironment(
    const std::vector<std::string>& zones) {
  model::Environment environment;
  environment.zones = {{{"z0"}, "r0"}, {{"z1"}, "r0"}, {{"z2"}, "r1"}};
  model::Service service;
  service.name = {"desk"};
  service.accepts = {model::RequestKind::kQuery, model::RequestKind::kLookup};
  for (std::size_t i = 0; i < zones.size(); ++i) {
    service.leaves.push_back(
        {{"l" + std::to_string(i)}, "127.0.0.1:1", {zones[i]}, 2, 25});
  }
  environment.services.push_back(service);
  return environment;
}

inline model::LeafState MakeState(const std::string& leaf,
                                  std::vector<model::Holding> holdings,
                                  std::uint64_t sequence = 1) {
  model::LeafState state;
  state.leaf = {leaf};
  state.epoch = 1;
  state.sequence = sequence;
  state.holdings = std::move(holdings);
  return state;
}

}  // namespace berylreach::routing
