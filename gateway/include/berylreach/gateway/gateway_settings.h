// Settings of one host's gateway.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/extra_call_budget.h"
#include "berylreach/forward/leaf_directory.h"
#include "berylreach/forward/shared_limit.h"
#include "berylreach/forward/version_shift.h"
#include "berylreach/gateway/wire_names.h"

namespace berylreach::gateway {

/// Settings that a host needs before it starts.
struct GatewaySettings {
  std::string host;
  /// "IP:port" at which callers connect.
  std::string caller_address;
  /// "IP:port" of readiness checks and metrics.
  std::string health_address;
  /// "IP:port" for requests from other hosts; empty for a host that accepts
  /// none.
  std::string peer_address;
  forward::Location location;
  forward::ExtraCallLimits extra_calls;
  forward::ColdCallLimits cold_calls;
  /// Interval at which leaves write their entries in service discovery.
  std::chrono::milliseconds leaf_heartbeat{1200};
  /// Time within which a host must apply a new version of the configuration.
  std::chrono::milliseconds config_apply{4000};
  forward::QuotaBounds quotas;
  /// Bounds on what a version may get before it is known to be good.
  forward::ExposureLimits exposure;
  /// Time between SIGTERM and SIGKILL, within which the process must exit.
  std::chrono::milliseconds stop_grace{6000};
  /// Number of CPU cores that the host may use; may be fractional.
  double cores = 1;
  /// Size in bytes of one record of a merged response.
  std::size_t record_bytes = 1;
  WireNames names;
};

}  // namespace berylreach::gateway
