// Progress of one shard of a query.
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

/// Progress of one shard. A shard is open until it has a result or a reason why
/// its result is missing.
struct ShardProgress {
  std::uint32_t shard = 0;
  std::optional<std::string> result;
  std::optional<model::MissingReason> missing;
  /// Leaves that were called for this shard. They are not chosen again while
  /// they are in this list.
  std::vector<model::LeafName> tried;
  /// Calls that have no reply and were not cancelled.
  std::vector<model::CallId> active_calls;
  /// Hedges sent so far.
  std::uint32_t hedges = 0;
  /// A call has been sent for this shard.
  bool started = false;
  /// When the next hedge of the shard is due.
  base::TimePoint hedge_at = base::TimePoint::max();
  /// Used instead, if earlier, while the shard is among the last open shards of
  /// the query; see HedgePolicy::last_shards.
  base::TimePoint hedge_at_if_last = base::TimePoint::max();

  bool Open() const { return !result && !missing; }
};

}  // namespace berylreach::query
