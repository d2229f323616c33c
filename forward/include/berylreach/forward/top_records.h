// Merges the records of shards.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace berylreach::forward {

/// The `count` greatest records of `bodies`, greatest first, compared byte by
/// byte. A body is a row of records of `record_bytes`; a shorter remainder is
/// no record. Equal records all count.
std::string TopRecords(const std::vector<std::string_view>& bodies,
                       std::size_t record_bytes, std::size_t count);

}  // namespace berylreach::forward
