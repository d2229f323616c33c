// Identity, address and size of one leaf stand-in.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace berylreach::standins {

/// Properties of a leaf that stay fixed while its process runs.
struct LeafOptions {
  std::string name = "leaf";
  /// IP address and port to listen on; port 0 selects any free port.
  std::string address = "127.0.0.1:0";
  std::string service;
  /// Maximum number of calls that run at the same time.
  std::int64_t slots = 2;
  /// Connection limit from the leaves file; the stand-in does not enforce it.
  std::int64_t connections = 25;
  /// Shard held at version 1, and the number of shards of that version.
  std::int64_t shard = 0;
  std::int64_t shard_count = 1;
};

/// Reads one object of a leaves file; absent fields keep their defaults.
LeafOptions ReadLeafOptions(const boost::json::object& fields);

}  // namespace berylreach::standins
