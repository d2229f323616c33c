// JSON bodies of the status that a leaf reports about itself.
#pragma once

#include <string>
#include <string_view>

#include "berylreach/config/parsed.h"
#include "berylreach/model/leaf_status.h"

namespace berylreach::config {

/// Body of the answer to `GET /v1/status`. `reachable` and `refused` are not
/// part of it.
std::string EncodeLeafStatus(const model::LeafStatus& status);

/// Reads the form of EncodeLeafStatus and sets `reachable`. The incarnation may
/// also be a number. Unknown members are ignored.
Parsed<model::LeafStatus> ParseLeafStatus(std::string_view body);

}  // namespace berylreach::config
