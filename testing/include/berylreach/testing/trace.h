// Readable trace of the events of a World.
#pragma once

#include <ostream>

#include "berylreach/testing/world.h"

namespace berylreach::testing {

/// Writes host events, order requests, order replies and order runs by time,
/// one per line, each with its virtual time in microseconds.
void WriteTrace(const World& world, std::ostream& out);

}  // namespace berylreach::testing
