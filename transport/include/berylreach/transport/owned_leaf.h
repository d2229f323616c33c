// A leaf whose status is read.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::transport {

/// Where to reach a leaf that this host owns.
struct OwnedLeaf {
  model::LeafName leaf;
  /// IP address and port.
  std::string address;
  /// Most connections to hold to the leaf.
  std::uint32_t connections = 1;

  friend bool operator==(const OwnedLeaf&, const OwnedLeaf&) = default;
};

}  // namespace berylreach::transport
