// Admission bounds of an entry host.
#pragma once

#include <cstddef>

namespace berylreach::limits {

/// Maximum work in flight at one entry host.
struct AdmissionOptions {
  /// Maximum caller requests in flight.
  std::size_t max_requests = 4096;
  /// Maximum leaf calls in flight, over all caller requests.
  std::size_t max_leaf_calls = 65536;
};

}  // namespace berylreach::limits
