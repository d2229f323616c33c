// Stable hashing. Hosts exchange and store the hashes, so the algorithms
// (xxHash64 with seed 0, and 128-bit XXH3) are part of the protocol between
// hosts and of the format of stored data.
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
