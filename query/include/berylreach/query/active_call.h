// A leaf call that a query runner has sent.
#pragma once

#include <cstddef>
#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// State that a query runner keeps for a leaf call until its reply arrives.
struct ActiveCall {
  /// Host that the call was sent to.
  model::HostName to;
  model::LeafName leaf;
  /// Index of the shard in `QueryRunner::shards_`.
  std::size_t shard_index = 0;
  std::uint32_t shard = 0;
  std::uint64_t version = 0;
  base::TimePoint sent_at{};
  /// The call is a hedge: a token of the hedge budget was spent on it.
  bool hedge = false;
  /// The fingerprint is suspect, so no other call with it may run at the same
  /// time.
  bool exclusive = false;
  /// A hedge was sent in place of this call. If the call is still queued at the
  /// owner of its leaf, the owner drops it.
  bool replaced_by_hedge = false;
  /// The call was cancelled. Its reply only tells whether it had started.
  bool cancelled = false;
};

}  // namespace berylreach::query
