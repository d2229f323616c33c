// JSON bodies of calls to leaves.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/upstream_call.h"

namespace berylreach::config {

/// Body of `POST /v1/call`. The payload, which is JSON text, is embedded
/// unchanged; an empty payload is sent as null.
std::string EncodeLeafCall(const model::UpstreamCall& call);

/// Body of `POST /v1/cancel`.
std::string EncodeLeafCancel(const model::CallId& id);

/// Reads the form of EncodeLeafCall, for fakes of leaves. Leaf, address,
/// connections, key and `not_after` are not part of the body.
Parsed<model::UpstreamCall> ParseLeafCall(std::string_view body);

}  // namespace berylreach::config
