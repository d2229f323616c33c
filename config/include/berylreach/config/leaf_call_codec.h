// Encodes and parses the JSON bodies of calls to leaves.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/upstream_call.h"

namespace berylreach::config {

/// JSON body of `POST /v1/call`. A payload that is valid JSON is embedded
/// unchanged, any other as a JSON string. The payload of a call without one is
/// its key. A key is also sent as the member "key".
std::string EncodeLeafCall(const model::UpstreamCall& call);

/// JSON body of `POST /v1/cancel`.
std::string EncodeLeafCancel(const model::CallId& id);

/// Parses a body encoded by EncodeLeafCall. Used by fake leaves. The body does
/// not contain `leaf`, `address`, `connections` and `not_after`.
Parsed<model::UpstreamCall> ParseLeafCall(std::string_view body);

/// Parses a body encoded by EncodeLeafCancel. Used by fake leaves.
Parsed<model::CallId> ParseLeafCancel(std::string_view body);

}  // namespace berylreach::config
