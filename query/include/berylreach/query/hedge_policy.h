// Parameters that decide when a query sends a hedge.
#pragma once

#include <cstddef>
#include <cstdint>

namespace berylreach::query {

/// Parameters of hedging (docs/design.md, section 3.7). With a budget of
/// 0.049 hedges per call and a burst of 50 hedges, the defaults keep the p99
/// latency of the order desk within 1.3 times its p99 without stragglers; see
/// docs/MEASUREMENTS.md.
struct HedgePolicy {
  /// A shard is hedged after this quantile of the service's leaf latency.
  double quantile = 0.97;
  /// Used instead of `quantile` for the last open shards of a query, which
  /// delay its reply, while the hedge budget is full.
  double last_quantile = 0.94;
  /// As the hedge budget is spent, `quantile` and `last_quantile` rise to this
  /// value if they are lower, so that tokens remain for real stragglers.
  double scarce_quantile = 0.96;
  /// `last_quantile` applies when at most this many shards are open.
  std::uint32_t last_shards = 4;
  /// No hedges are sent before the latency window holds this many samples.
  std::size_t min_samples = 50;
  /// Maximum number of hedges of one shard. A canary gets at most one, because
  /// each copy of it may crash a leaf.
  std::uint32_t hedges_per_shard = 2;
  /// Whether a hedge may go to a replica that was tried before, once all
  /// replicas have been tried.
  bool same_replica = true;
  /// Whether a call that is still queued when its hedge is sent is cancelled,
  /// so that the hedge replaces it. Otherwise, when both replicas have queues,
  /// both copies start at about the same time and add load to congested leaves.
  bool move_queued = true;
  /// Whether the canary of an unproven fingerprint may be hedged.
  bool canary = true;
};

}  // namespace berylreach::query
