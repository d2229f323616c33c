// The operators' configuration of request forwarding as parsed values.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/forward/tenant.h"

namespace berylreach::forward {

/// One of several services among which a route distributes its requests.
struct WeightedService {
  std::string service;
  /// Share of the requests relative to the sum of the weights, 0 or more.
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// How requests with one host name and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once, so that it can be retried and
  /// hedged.
  bool idempotent = false;
  /// Maximum time until the caller gets an answer.
  std::chrono::milliseconds timeout{0};
  /// Latency objective for the answer.
  std::chrono::milliseconds objective{0};
  /// Priority of the requests; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Maximum number of leaves that may run one request, for each shard.
  std::size_t attempts = 1;
  /// Services among which requests are distributed by weight; empty if `shards`
  /// is set.
  std::vector<WeightedService> services;
  /// The services of the shards; each request is sent to all of them. Empty for
  /// a route that calls a single leaf.
  std::vector<std::string> shards;
  /// Maximum number of records in a merged answer; the others are dropped.
  std::size_t top_records = 0;
  /// Minimum fraction of the shards in a merged answer, 0 to 1.
  double minimum_coverage = 1;
  /// Regions whose leaves may serve the route; empty for all.
  std::vector<std::string> regions;
  /// Whether callers need no key although the configuration has tenants.
  bool is_public = false;

  bool scatters() const { return !shards.empty(); }

  friend bool operator==(const Route&, const Route&) = default;
};

/// A set of interchangeable leaves.
struct Service {
  std::string name;
  /// Path of the leaves' health check; empty if they have none.
  std::string health_path;
  /// Maximum number of connections that one leaf accepts from all hosts
  /// together.
  std::size_t max_connections = 1;
  /// How long a leaf is cold after its start.
  std::chrono::milliseconds cold_start{0};
  /// Requests per second that a cold leaf can take from all hosts together.
  double cold_rate = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

/// Limits on the size of callers' requests and on the time that callers may
/// take to send them.
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
  /// If empty, callers need no keys and requests belong to no tenant.
  std::vector<Tenant> tenants;
  CallerLimits limits;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace berylreach::forward
