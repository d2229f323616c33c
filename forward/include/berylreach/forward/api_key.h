// Keys of tenants, of which hosts keep and exchange only digests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/base/sha256.h"

namespace berylreach::forward {

/// The digest of a key. The digest is cryptographic because hosts send
/// configurations to each other: who reads a digest must not be able to make a
/// key that has it.
class ApiKey {
 public:
  static ApiKey Of(std::string_view key) { return ApiKey(base::Sha256(key)); }
  /// Parses a digest as Format writes it.
  static std::optional<ApiKey> Parse(std::string_view digest);
  /// Formats the digest as 64 hexadecimal digits.
  std::string Format() const;

  /// Any part of the digest is evenly distributed.
  std::size_t hash() const {
    std::size_t value = 0;
    std::memcpy(&value, digest_.data(), sizeof(value));
    return value;
  }

  friend bool operator==(const ApiKey&, const ApiKey&) = default;

 private:
  explicit ApiKey(const base::Sha256Digest& digest) : digest_(digest) {}

  base::Sha256Digest digest_;
};

/// Hash function of containers.
struct ApiKeyHash {
  std::size_t operator()(const ApiKey& key) const { return key.hash(); }
};

}  // namespace berylreach::forward
