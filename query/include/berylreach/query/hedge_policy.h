// When a query may send a shard's call a second time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "berylreach/base/clock.h"

namespace berylreach::query {

/// Parameters of hedging (design 3.7).
struct HedgePolicy {
  /// Quantile of the service's leaf latency after which a shard is hedged.
  double quantile = 0.95;
  /// No hedging before the window holds this many samples.
  std::size_t min_samples = 50;
  /// Hedges of one shard beside its first call.
  std::uint32_t hedges_per_shard = 1;
  /// A shard is hedged only when at most this many shards of the query are
  /// unanswered.
  std::uint32_t unanswered_shards = std::numeric_limits<std::uint32_t>::max();
  /// Whether the canary of an unproven fingerprint may be hedged.
  bool canary = true;
};

}  // namespace berylreach::query
