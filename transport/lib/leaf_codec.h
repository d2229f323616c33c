// JSON form of leaf calls.
#pragma once

#include <optional>
#include <string>

#include "berylreach/model/upstream_call.h"
#include "berylreach/model/upstream_result.h"
#include "berylreach/transport/leaf_status.h"

namespace berylreach::transport {

/// Body of POST /v1/call. A call without payload carries its key as payload.
/// Keys of orders and lookups are also sent as "key".
std::string FormatCall(const model::UpstreamCall& call);

/// Body of POST /v1/cancel.
std::string FormatCancel(const model::CallId& id);

/// Reads the answer to `call`; nothing if it is not of a known form, or if it
/// names another request, leaf, shard or version.
std::optional<model::UpstreamResult> ParseCallAnswer(
    const model::UpstreamCall& call, int status, const std::string& body);

/// Reads the answer of GET /v1/status; `reachable` is false if it is not of the
/// known form or names another leaf.
LeafStatus ParseStatus(const model::LeafName& leaf, int status,
                       const std::string& body);

}  // namespace berylreach::transport
