// Divides the number of shards that an answer may lack among groups of shards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylreach::forward {

/// Divides the `allowed` number of missing shards among groups with `sizes`
/// shards each, in proportion to the sizes. The results add up to at most
/// `allowed`, so the answer keeps its minimum coverage even if each group
/// leaves out as many shards as it may. `seed` selects the groups that get the
/// remainder.
std::vector<std::size_t> DivideAllowance(std::size_t allowed,
                                         const std::vector<std::size_t>& sizes,
                                         std::uint64_t seed);

}  // namespace berylreach::forward
