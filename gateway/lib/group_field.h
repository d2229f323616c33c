// The header field of a group of shards.
#pragma once

#include <string_view>

namespace berylreach::gateway {

/// Its value is a GroupHeader. Callers' fields of this name are not forwarded.
inline constexpr std::string_view kGroupField = "Berylreach-Group";

}  // namespace berylreach::gateway
