// Bounds of the work that an entry host takes in.
#pragma once

#include <cstddef>

namespace berylreach::limits {

/// Bounds of one entry host.
struct AdmissionOptions {
  /// Caller requests in flight.
  std::size_t max_requests = 4096;
  /// Leaf calls in flight, over all caller requests.
  std::size_t max_leaf_calls = 65536;
};

}  // namespace berylreach::limits
