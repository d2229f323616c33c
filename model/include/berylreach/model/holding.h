// A shard that a leaf holds at one index version.
#pragma once

#include <compare>
#include <cstdint>

namespace berylreach::model {

/// One shard of one index version. `shard_count` is part of it because each
/// version has its own partition map.
struct Holding {
  std::uint64_t version = 0;
  std::uint32_t shard = 0;
  std::uint32_t shard_count = 0;

  friend auto operator<=>(const Holding&, const Holding&) = default;
};

}  // namespace berylreach::model
