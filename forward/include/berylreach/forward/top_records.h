// Merges the records of several shards.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace berylreach::forward {

/// Returns the `count` greatest records of `bodies`, greatest first, compared
/// byte by byte. A body is a sequence of records of `record_bytes` each; an
/// incomplete record at its end is ignored. Equal records are all kept.
std::string TopRecords(const std::vector<std::string_view>& bodies,
                       std::size_t record_bytes, std::size_t count);

}  // namespace berylreach::forward
