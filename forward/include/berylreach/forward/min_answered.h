// The number of shards that an answer must contain.
#pragma once

#include <cstddef>

namespace berylreach::forward {

/// Returns the minimum number of answered subrequests of `total`, at least one,
/// that reaches the `coverage`, a fraction.
std::size_t MinAnswered(std::size_t total, double coverage);

}  // namespace berylreach::forward
