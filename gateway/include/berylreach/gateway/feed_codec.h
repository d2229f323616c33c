// JSON encoding of the changes in the change feed (see FeedServer).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "berylreach/forward/change_log.h"

namespace berylreach::gateway {

std::string FormatChangeSet(const forward::ChangeSet& set);

/// Returns nullopt if the text is malformed.
std::optional<forward::ChangeSet> ParseChangeSet(std::string_view text);

}  // namespace berylreach::gateway
