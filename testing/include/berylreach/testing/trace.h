// A readable record of what happened in a World.
#pragma once

#include <ostream>

#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Writes host events, order requests, order replies and order runs in the
/// order of time.
void WriteTrace(const World& world, std::ostream& out);

}  // namespace berylreach::testing
