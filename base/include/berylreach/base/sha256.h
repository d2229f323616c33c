// SHA-256 (FIPS 180-4), for secrets that must not be recoverable from their
// digests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace berylreach::base {

inline constexpr std::size_t kSha256Bytes = 32;
using Sha256Digest = std::array<std::uint8_t, kSha256Bytes>;

Sha256Digest Sha256(std::string_view bytes);

}  // namespace berylreach::base
