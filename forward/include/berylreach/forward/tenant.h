// A customer of the deployment, as the operators' configuration states it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/forward/api_key.h"

namespace berylreach::forward {

/// A customer whose callers identify themselves with keys.
struct Tenant {
  /// Identifies the tenant to leaves, other hosts, logs and metrics.
  std::string name;
  /// The keys that callers may present. A tenant without keys cannot send
  /// requests.
  std::vector<ApiKey> api_keys;
  /// Priority of the tenant's requests in place of the route's; 0 is the most
  /// urgent.
  std::optional<std::uint32_t> priority;
  /// Requests per second over all hosts together; 0 for no limit.
  double rate = 0;
  /// Requests that may exceed the rate for a short time.
  double burst = 0;
  /// Regions whose leaves may serve the tenant; empty for all.
  std::vector<std::string> regions;

  friend bool operator==(const Tenant&, const Tenant&) = default;
};

}  // namespace berylreach::forward
