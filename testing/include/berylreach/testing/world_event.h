// Event in the common timeline of all hosts of a World.
#pragma once

#include <string>

#include "berylreach/base/clock.h"

namespace berylreach::testing {

/// An event that a host recorded, with its virtual time.
struct WorldEvent {
  base::TimePoint at;
  std::string host;
  std::string type;
  std::string subject;
  std::string detail;
};

}  // namespace berylreach::testing
