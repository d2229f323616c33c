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
  /// Maximum number of requests that the leaf runs concurrently.
  std::uint32_t slots = 1;
  /// Maximum number of connections that the leaf accepts in total.
  std::uint32_t max_connections = 1;

  friend bool operator==(const Leaf&, const Leaf&) = default;
};

}  // namespace berylreach::model
