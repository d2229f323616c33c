// A successful answer to a caller.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/coverage.h"
#include "berylreach/model/shard_result.h"

namespace berylreach::model {

/// Shard results of one index version and their coverage. An answer never mixes
/// results of different versions.
struct Answer {
  std::vector<ShardResult> results;
  std::uint64_t version = 0;
  Coverage coverage;

  friend bool operator==(const Answer&, const Answer&) = default;
};

}  // namespace berylreach::model
