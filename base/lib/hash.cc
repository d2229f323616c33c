// Implements hashing with the xxHash library.
#include "berylreach/base/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace berylreach::base {

std::uint64_t Hash64(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string ContentHash(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(
                    hash.high64),  // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(
                    hash.low64));  // NOLINT(google-runtime-int)
  return std::string(digits.data(), 32);
}

}  // namespace berylreach::base
