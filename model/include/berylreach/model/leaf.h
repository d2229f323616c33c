// A leaf as described by the document.
#pragma once

#include <cstdint>
#include <string>

#include "berylreach/model/names.h"

namespace berylreach::model {

/// One upstream process that serves a shard.
struct Leaf {
  LeafName name;
  /// IP address and port, such as "10.0.0.7:8080".
  std::string address;
  ZoneName zone;
  /// Requests the leaf runs at the same time.
  std::uint32_t slots = 1;
  /// Connections the leaf accepts in all.
  std::uint32_t connections = 1;

  friend bool operator==(const Leaf&, const Leaf&) = default;
};

}  // namespace berylreach::model
