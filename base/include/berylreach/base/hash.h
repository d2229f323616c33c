// Stable hashing. Hosts exchange the 64-bit values, so their algorithm
// (xxHash64, seed 0) is part of the protocol between hosts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylreach::base {

/// xxHash64 of `bytes` with seed 0.
std::uint64_t Hash64(std::string_view bytes);

/// 128-bit XXH3 hash of `bytes` as 32 lower-case hexadecimal digits. It is the
/// name of a content-addressed document part.
std::string ContentHash(std::string_view bytes);

}  // namespace berylreach::base
