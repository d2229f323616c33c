// Stable 64-bit hashing. The values travel between hosts, so the algorithm
// (xxHash64, seed 0) is part of the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylreach::base {

/// xxHash64 of `bytes` with seed 0.
std::uint64_t Hash64(std::string_view bytes);

/// 128-bit XXH3 content hash as 32 lower-case hexadecimal digits; names
/// content-addressed parts.
std::string ContentHash(std::string_view bytes);

}  // namespace berylreach::base
