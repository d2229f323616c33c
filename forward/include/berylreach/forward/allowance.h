// How many shards each part of a divided request may leave out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylreach::forward {

/// Divides `allowed` shards that an answer may lack among parts of `sizes`
/// shards, by size. The sum is `allowed` or less, so that parts that leave out
/// what they may never make the answer fail together. `seed` decides who gets
/// what cannot be divided.
std::vector<std::size_t> DivideAllowance(std::size_t allowed,
                                         const std::vector<std::size_t>& sizes,
                                         std::uint64_t seed);

}  // namespace berylreach::forward
