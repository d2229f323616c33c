// Events that other threads post to the core thread.
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

/// The caller of a request disconnected.
struct CallerDisconnected {
  model::CallId id;
};

/// Result of reading the host list; nullopt if the read failed.
struct HostListRead {
  std::optional<model::HostList> list;
};

/// The connection to a host was lost and could not be reopened at once.
struct PeerDisconnected {
  model::HostName host;
};

/// Requests the planned stop.
struct StopRequested {};

/// Calls `read` with the core on the core thread, for status and metrics.
struct Inspect {
  std::function<void(const core::HostCore&)> read;
};

/// An event for the core thread.
using CoreEvent =
    std::variant<model::CallerRequest, CallerDisconnected, model::Envelope,
                 model::UpstreamResult, model::LeafStatus, model::StoreResult,
                 HostListRead, PeerDisconnected, StopRequested, Inspect>;

}  // namespace berylreach::host
