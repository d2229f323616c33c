// A leaf call of a query.
#pragma once

#include <cstddef>
#include <cstdint>

#include "berylreach/base/clock.h"
#include "berylreach/model/names.h"

namespace berylreach::query {

/// A call that was sent and has no reply yet.
struct ActiveCall {
  model::HostName to;
  model::LeafName leaf;
  /// Position of the shard among those of the current plan.
  std::size_t place = 0;
  std::uint32_t shard = 0;
  std::uint64_t version = 0;
  base::TimePoint sent_at{};
  /// Paid for by the hedge budget.
  bool hedge = false;
  bool alone = false;
  /// A hedge was sent; if the call was still queued, the owner drops it.
  bool moving = false;
  /// Cancelled; its reply only tells whether it had started.
  bool withdrawn = false;
};

}  // namespace berylreach::query
