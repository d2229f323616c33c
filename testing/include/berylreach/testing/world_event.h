// An entry of the time line over all hosts of a test.
#pragma once

#include <string>

#include "berylreach/base/clock.h"

namespace berylreach::testing {

/// An event that a host recorded, in virtual time.
struct WorldEvent {
  base::TimePoint at;
  std::string host;
  std::string type;
  std::string subject;
  std::string detail;
};

}  // namespace berylreach::testing
