// Computes the number of answered subrequests from a route's coverage.
#include "berylreach/forward/min_answered.h"

namespace berylreach::forward {

std::size_t MinAnswered(std::size_t total, double coverage) {
  for (std::size_t subrequests = 1; subrequests < total; ++subrequests) {
    if (static_cast<double>(subrequests) / static_cast<double>(total) >=
        coverage)
      return subrequests;
  }
  return total;
}

}  // namespace berylreach::forward
