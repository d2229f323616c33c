// Resource limits of one host.
#pragma once

#include <cstdint>

namespace berylreach::config {

/// Limits on what a host process holds at the same time.
struct HostLimits {
  /// Maximum number of connections from callers.
  std::uint32_t caller_connections = 1024;
  /// Maximum number of caller requests in flight; further requests are refused
  /// with kOverloaded.
  std::uint32_t running_requests = 1024;
  /// Maximum size of a caller's request body in bytes; not above
  /// kMaxCallerBodyBytes.
  std::uint32_t request_bytes = 65'536;
  /// Maximum number of calls that are queued for one leaf at its owner.
  std::uint32_t queued_calls_per_leaf = 256;
  /// Maximum number of events kept in the event timeline.
  std::uint32_t timeline_events = 4096;

  friend bool operator==(const HostLimits&, const HostLimits&) = default;
};

}  // namespace berylreach::config
