// Estimates of the leaf calls of all routes.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "berylreach/forward/route_latency.h"

namespace berylreach::forward {

/// Expected latencies by route and leaf: a route's mean at all its leaves times
/// the factor by which a leaf is slower than others (LeafRecord). Not
/// thread-safe.
class LatencyModel {
 public:
  using RouteEstimate = std::shared_ptr<RouteLatency>;

  /// Returns the estimate of the route's calls to `service`. All shards of a
  /// scattering route, for which `service` is empty, have one estimate, since
  /// their calls do the same work.
  RouteEstimate Of(const std::string& route, const std::string& service);

 private:
  std::unordered_map<std::string, RouteEstimate> estimates_;
};

}  // namespace berylreach::forward
