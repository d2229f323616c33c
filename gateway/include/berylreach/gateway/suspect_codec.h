// What hosts tell each other of requests that end their leaves.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "berylreach/model/suspect_update.h"

namespace berylreach::gateway {

/// Path of the request `POST /suspect`, whose body is an entry.
inline constexpr std::string_view kSuspectPath = "/suspect";

std::string FormatSuspect(const model::SuspectEntry& entry);
/// Nothing if the text is malformed.
std::optional<model::SuspectEntry> ParseSuspect(std::string_view text);

}  // namespace berylreach::gateway
