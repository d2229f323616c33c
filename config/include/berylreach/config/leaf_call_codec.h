// Encodes and parses the JSON bodies of calls to leaves.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/upstream_call.h"

namespace berylreach::config {

/// JSON body of `POST /v1/call`. A payload that is valid JSON is embedded
/// unchanged, any other payload as a JSON string. If the payload is empty, the
/// key takes its place. A key that is not empty is also sent as the member
/// "key".
std::string EncodeLeafCall(const model::UpstreamCall& call);

/// JSON body of `POST /v1/cancel`.
std::string EncodeLeafCancel(const model::CallId& id);

/// Parses a body encoded by EncodeLeafCall. Used by leaf stand-ins. The body
/// does not contain `leaf`, `address`, `max_connections` and `not_after`.
Parsed<model::UpstreamCall> ParseLeafCall(std::string_view body);

/// Parses a body encoded by EncodeLeafCancel. Used by leaf stand-ins.
Parsed<model::CallId> ParseLeafCancel(std::string_view body);

}  // namespace berylreach::config
