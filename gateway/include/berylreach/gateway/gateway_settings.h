// Settings of one gateway host.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/extra_call_budget.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/gateway/wire_names.h"

namespace berylreach::gateway {

/// What a host needs to know before it starts.
struct GatewaySettings {
  std::string host;
  /// "IP:port" for callers.
  std::string caller_address;
  /// "IP:port" for readiness checks and metrics.
  std::string health_address;
  /// "IP:port" for requests of other hosts; empty for a host that takes none.
  std::string peer_address;
  forward::Location location;
  forward::ExtraCallLimits extra_calls;
  forward::ColdCallLimits cold_calls;
  /// Time between SIGTERM and the end of the process.
  std::chrono::milliseconds stop_grace{6000};
  /// Part of a core that the host may use.
  double cores = 1;
  /// Bytes of one record of a merged answer.
  std::size_t record_bytes = 1;
  WireNames names;
};

}  // namespace berylreach::gateway
