// Digests of published leaf states.
#pragma once

#include <cstdint>

#include "berylreach/model/leaf_state.h"

namespace berylreach::routing {

/// Contribution of one state to the digest of a set of states, which is the
/// sum of these modulo 2^64. A sum does not depend on the order of the states,
/// and a state can be added or taken away without reading the others.
std::uint64_t DigestOf(const model::LeafState& state);

}  // namespace berylreach::routing
