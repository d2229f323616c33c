// Computation of the digest from the fields that identify a state.
#include "berylreach/routing/leaf_state_digest.h"

#include <string>

#include "berylreach/base/hash.h"

namespace berylreach::routing {

std::uint64_t DigestOf(const model::LeafState& state) {
  // Epoch or sequence changes whenever any other field does, so the others need
  // not be hashed.
  return base::Hash64(state.leaf.value + '\0' + std::to_string(state.epoch) +
                      '\0' + std::to_string(state.sequence));
}

}  // namespace berylreach::routing
