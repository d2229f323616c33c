// JSON bodies of calls to leaves.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/upstream_call.h"

namespace berylreach::config {

/// Body of `POST /v1/call`. A payload that is JSON text is embedded unchanged,
/// other text as a JSON string. A call without payload carries its key as
/// payload. Keys of orders and lookups are also sent as "key".
std::string EncodeLeafCall(const model::UpstreamCall& call);

/// Body of `POST /v1/cancel`.
std::string EncodeLeafCancel(const model::CallId& id);

/// Reads the form of EncodeLeafCall, for fakes of leaves. Leaf, address,
/// connections and `not_after` are not part of the body.
Parsed<model::UpstreamCall> ParseLeafCall(std::string_view body);

/// Reads the form of EncodeLeafCancel, for fakes of leaves.
Parsed<model::CallId> ParseLeafCancel(std::string_view body);

}  // namespace berylreach::config
