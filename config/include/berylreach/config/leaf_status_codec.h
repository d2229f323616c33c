// Encodes and parses the JSON body of the status that a leaf reports.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/leaf_status.h"

namespace berylreach::config {

/// JSON body of a leaf's answer to `GET /v1/status`. It does not contain
/// `reachable` and `connection_refused`.
std::string EncodeLeafStatus(const model::LeafStatus& status);

/// Parses a body encoded by EncodeLeafStatus and sets `reachable`. The
/// incarnation may also be a number. Ignores unknown members.
Parsed<model::LeafStatus> ParseLeafStatus(std::string_view body);

}  // namespace berylreach::config
