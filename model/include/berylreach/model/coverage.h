// The part of the index that an answer covers.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/missing_shard.h"

namespace berylreach::model {

/// Coverage of one answer. `missing` has exactly `shards_total -
/// shards_answered` entries.
struct Coverage {
  std::uint32_t shards_answered = 0;
  std::uint32_t shards_total = 0;
  std::vector<MissingShard> missing;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

}  // namespace berylreach::model
