// Description of one leaf stand-in.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace berylreach::standins {

/// Fixed properties of a leaf.
struct LeafOptions {
  std::string name = "leaf";
  /// IP address and port; port 0 takes any free port.
  std::string address = "127.0.0.1:0";
  std::string service;
  std::int64_t slots = 2;
  /// Stated in the leaves file; the stand-in does not enforce it.
  std::int64_t connections = 25;
  std::int64_t shard = 0;
  std::int64_t shard_count = 1;
};

/// Reads one item of a leaves file; absent fields keep their defaults.
LeafOptions ReadLeafOptions(const boost::json::object& fields);

}  // namespace berylreach::standins
