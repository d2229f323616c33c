// Divides the shards that an answer may lack among the parts of a request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylreach::forward {

/// Divides the `allowed` number of missing shards among parts of `sizes`
/// shards, in proportion to their sizes. The results add up to at most
/// `allowed`, so the answer keeps its minimum coverage even if each part leaves
/// out as many shards as it may. `seed` selects the parts that get the
/// remainder.
std::vector<std::size_t> DivideAllowance(std::size_t allowed,
                                         const std::vector<std::size_t>& sizes,
                                         std::uint64_t seed);

}  // namespace berylreach::forward
