// Events that other threads hand to the core thread.
#pragma once

#include <functional>
#include <optional>
#include <variant>

#include "berylreach/core/host_core.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/envelope.h"
#include "berylreach/model/host_list.h"
#include "berylreach/model/leaf_status.h"
#include "berylreach/model/store_result.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::host {

/// The caller of a request has gone away.
struct CallerDisconnected {
  model::CallId id;
};

/// Result of a host list read; nothing if it failed.
struct HostListRead {
  std::optional<model::HostList> list;
};

/// The connection to a host ended and could not be opened again at once.
struct PeerDisconnected {
  model::HostName host;
};

/// Begins the planned stop.
struct StopRequested {};

/// Reads the core's state on the core thread, for status and metrics.
struct Inspect {
  std::function<void(const core::HostCore&)> read;
};

/// One event.
using CoreEvent =
    std::variant<model::CallerRequest, CallerDisconnected, model::Envelope,
                 model::UpstreamResult, model::LeafStatus, model::StoreResult,
                 HostListRead, PeerDisconnected, StopRequested, Inspect>;

}  // namespace berylreach::host
