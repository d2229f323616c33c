// A leaf whose status the UpstreamClient of this host reads.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::transport {

/// Address and connection limit of a leaf that this host owns.
struct OwnedLeaf {
  model::LeafName leaf;
  /// IP address and port of the leaf.
  std::string address;
  /// Maximum number of open connections to the leaf.
  std::uint32_t max_connections = 1;

  friend bool operator==(const OwnedLeaf&, const OwnedLeaf&) = default;
};

}  // namespace berylreach::transport
