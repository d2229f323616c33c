// Health of a leaf as its owner publishes it.
#include "berylreach/core/owned_leaf.h"

namespace berylreach::core {

model::LeafHealth OwnedLeaf::Health() const {
  if (!reachable) return model::LeafHealth::kDown;
  if (gate.draining()) return model::LeafHealth::kDraining;
  return gate.cold() ? model::LeafHealth::kCold : model::LeafHealth::kUsable;
}

}  // namespace berylreach::core
