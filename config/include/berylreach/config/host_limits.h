// Limits of one entry host.
#pragma once

#include <cstdint>

namespace berylreach::config {

/// Bounds on what a host process holds at the same time.
struct HostLimits {
  /// Most connections of callers.
  std::uint32_t caller_connections = 1024;
  /// Most caller requests that run at the same time; further ones are refused
  /// as overloaded.
  std::uint32_t running_requests = 1024;
  /// Most bytes of a caller's request body, at most kMaxCallerBodyBytes.
  std::uint32_t request_bytes = 65'536;
  /// Most calls that wait for one leaf at its owner.
  std::uint32_t queued_calls_per_leaf = 256;
  /// Events kept for the time line.
  std::uint32_t timeline_events = 4096;

  friend bool operator==(const HostLimits&, const HostLimits&) = default;
};

}  // namespace berylreach::config
