// When a query may send a shard's call a second time.
#pragma once

#include <cstddef>
#include <cstdint>

namespace berylreach::query {

/// Parameters of hedging (design 3.7). With a budget of 0.049
/// hedges per call and a burst of 50 they hold the p99 of the order desk within
/// 1.3 times that without stragglers; see docs/MEASUREMENTS.md.
struct HedgePolicy {
  /// Quantile of the service's leaf latency after which a shard is hedged.
  double quantile = 0.97;
  /// Applies instead of `quantile` to the last shards of a query, which hold it
  /// up, while the budget is full.
  double last_quantile = 0.94;
  /// As the budget is spent, lower quantiles rise to this one, so that some of
  /// it is left for real stragglers.
  double scarce_quantile = 0.96;
  /// At most this many unanswered shards are the last ones.
  std::uint32_t last_shards = 4;
  /// No hedging before the window holds this many samples.
  std::size_t min_samples = 50;
  /// Hedges of one shard beside its first call. A canary gets one at most,
  /// since each copy may kill its leaf.
  std::uint32_t hedges_per_shard = 2;
  /// When every replica has been tried, a further hedge goes to one of them
  /// again.
  bool same_replica = true;
  /// A call that is still queued when its hedge is sent is withdrawn, so that
  /// the hedge replaces it. Otherwise both copies start at about the same time
  /// when both replicas have queues, and congestion doubles its own work.
  bool move_queued = true;
  /// Whether the canary of an unproven fingerprint may be hedged.
  bool canary = true;
};

}  // namespace berylreach::query
