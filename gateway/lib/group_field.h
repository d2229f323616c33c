// Name of the header field that holds the parameters of a group of shards.
// Private to the package.
#pragma once

#include <string_view>

namespace berylreach::gateway {

/// The value is an encoded GroupHeader. Fields of this name in callers'
/// requests are not forwarded.
inline constexpr std::string_view kGroupField = "Berylreach-Group";

}  // namespace berylreach::gateway
