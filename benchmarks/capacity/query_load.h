// Load of queries to one host at a constant rate.
#pragma once

#include <cstddef>
#include <string>

namespace berylreach::capacity {

/// Parameters of a load of queries to one host.
struct QueryLoad {
  /// HTTP address of the host, "IP:port".
  std::string target;
  std::string service;
  /// Rate at which queries are scheduled, per second.
  double per_second = 10;
  /// Length of the load in seconds.
  std::size_t seconds = 5;
  /// Number of connections; each carries at most one query at a time.
  std::size_t connections = 16;
  /// Size of the payload of each query in bytes, including the quotes.
  std::size_t payload_bytes = 100;
};

/// Sends the load and prints one JSON object: the number of queries sent,
/// answered with all shards, answered with some shards missing, and refused or
/// failed, and latency quantiles in milliseconds. Latencies count from the
/// scheduled time of a query, so that they include the wait for a free
/// connection. Returns 0.
int SendQueries(const QueryLoad& load);

}  // namespace berylreach::capacity
