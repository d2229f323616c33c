// JSON encoding of suspect entries, by which hosts tell each other about
// requests suspected of crashing leaves.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "berylreach/model/suspect_update.h"

namespace berylreach::gateway {

/// Path of the request `POST /suspect`, whose body is an encoded entry.
inline constexpr std::string_view kSuspectPath = "/suspect";

std::string FormatSuspect(const model::SuspectEntry& entry);
/// Returns nullopt if the text is malformed.
std::optional<model::SuspectEntry> ParseSuspect(std::string_view text);

}  // namespace berylreach::gateway
