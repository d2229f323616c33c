// An environment with one leaf, and the states that the owner of the leaf
// publishes.
#pragma once

#include <variant>
#include <vector>

#include "berylreach/core/leaf_owner.h"
#include "berylreach/core/outbox.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/leaf_states.h"

namespace berylreach::core {

// Service "desk" with the leaf "leaf", which has 2 slots, in the zone "zone".
inline model::Environment OneLeaf() {
  model::Environment environment;
  environment.zones = {{{"zone"}, "region", model::ZoneState::kInService}};
  model::Service service;
  service.name = {"desk"};
  service.shards = 1;
  service.leaves = {{{"leaf"}, "127.0.0.1:1", {"zone"}, 2, 4}};
  environment.services = {service};
  return environment;
}

// The states that `owner` sends to its peers now.
inline std::vector<model::LeafState> PublishedStates(LeafOwner& owner,
                                                     Outbox& outbox) {
  owner.PublishChanges();
  std::vector<model::LeafState> states;
  for (const Action& action : outbox.Take()) {
    const auto* send = std::get_if<SendToPeer>(&action);
    if (send == nullptr) continue;
    const auto* sent = std::get_if<model::LeafStates>(&send->message);
    if (sent == nullptr) continue;
    states.insert(states.end(), sent->states.begin(), sent->states.end());
  }
  return states;
}

}  // namespace berylreach::core
