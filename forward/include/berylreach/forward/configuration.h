// The operators' configuration of forwarded requests, as parsed values.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylreach::forward {

/// One service of a route that splits its requests.
struct WeightedService {
  std::string service;
  /// Relative share of the requests; at least 0.
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// How requests of one host name and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  /// Latency objective of an answer.
  std::chrono::milliseconds objective{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Most leaves that may run one request (of each shard).
  std::size_t attempts = 1;
  /// Services that take the requests in turn; empty if `shards` is set.
  std::vector<WeightedService> services;
  /// Services of which every request needs an answer each; empty for a route
  /// to one leaf.
  std::vector<std::string> shards;
  /// Number of records of a merged answer.
  std::size_t top_records = 0;
  /// Least share of the shards in a merged answer, 0 to 1.
  double min_coverage = 1;
  /// Regions whose leaves may serve the route; empty for all.
  std::vector<std::string> regions;

  bool scatters() const { return !shards.empty(); }

  friend bool operator==(const Route&, const Route&) = default;
};

/// A set of interchangeable leaves.
struct Service {
  std::string name;
  /// Connections that one leaf accepts from all hosts together.
  std::size_t max_connections = 1;
  /// How long a leaf stays cold after it started.
  std::chrono::milliseconds cold_start{0};
  /// Requests per second that a cold leaf bears, all hosts together.
  double cold_rate = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

/// What a caller may send, and how slowly.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the operators' configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace berylreach::forward
