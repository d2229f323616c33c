// Digest of a published leaf state.
#pragma once

#include <cstdint>

#include "berylreach/model/leaf_state.h"

namespace berylreach::routing {

/// Returns the contribution of one state to the digest of a set of states,
/// which is the sum of the contributions modulo 2^64. The sum does not depend
/// on the order of the states, and a state can be added or removed without
/// reading the others.
std::uint64_t DigestOf(const model::LeafState& state);

}  // namespace berylreach::routing
