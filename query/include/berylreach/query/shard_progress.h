// The state of one shard of a query.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/missing_shard.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// A shard is open until it has a result or a reason why it is missing.
struct ShardProgress {
  std::uint32_t shard = 0;
  std::optional<std::string> result;
  std::optional<model::MissingReason> missing;
  std::vector<model::LeafName> tried;
  /// Calls without a reply that were not withdrawn.
  std::vector<model::CallId> live;
  std::uint32_t hedges = 0;
  bool started = false;
  /// When the shard is due for its next hedge.
  base::TimePoint hedge_at = base::TimePoint::max();
  /// The same once the shard is one of the last of the query.
  base::TimePoint last_hedge_at = base::TimePoint::max();

  bool Open() const { return !result && !missing; }
};

}  // namespace berylreach::query
