// Queries at a steady rate.
#pragma once

#include <cstddef>
#include <string>

namespace berylreach::capacity {

/// A bounded load of distinct or repeated queries on one host.
struct QueryLoad {
  /// HTTP address of the host.
  std::string target;
  std::string service;
  double per_second = 10;
  std::size_t seconds = 5;
  /// Connections, each with at most one query at a time.
  std::size_t connections = 16;
  /// Payload bytes, quotes included.
  std::size_t payload_bytes = 100;
};

/// Sends the load and prints one JSON object: queries sent, answered whole,
/// answered in part, refused or failed, and latency quantiles in milliseconds
/// from the time at which each query was due.
int SendQueries(const QueryLoad& load);

}  // namespace berylreach::capacity
