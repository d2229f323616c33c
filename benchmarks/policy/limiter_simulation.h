// Simulation in which hosts in three zones limit the calls to each leaf in one
// of several ways.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "gated_leaf.h"
#include "limiter_options.h"
#include "simulation.h"
#include "upstream_leaf.h"

namespace berylreach::bench {

/// A query that arrived during the cold window of a leaf.
struct ColdQuery {
  double latency_ms = 0;
  bool whole = false;
};

/// Statistics of one run.
struct LimiterResult {
  BenchResult queries;
  /// Number of queries, those before the measurement included.
  std::uint64_t arrivals = 0;
  /// Sums and maxima over all leaves.
  UpstreamStatistics leaves;
  /// Fraction of the slot time in which calls ran.
  double utilization = 0;
  std::vector<ColdQuery> cold_queries;
};

class LimiterSimulation final : public Simulation {
 public:
  /// Time after the first start of a restarted leaf during which arriving
  /// queries are recorded as ColdQuery.
  static constexpr base::Duration kColdWindow = std::chrono::seconds(2);

  LimiterSimulation(const BenchOptions& options, const LimiterOptions& limiter);
  LimiterResult RunLimited();

 protected:
  std::size_t PickHost() override;
  void CallRandomReplicas(std::uint64_t query_id) override;
  void SendCall(std::uint64_t query_id, const model::LeafCall& call) override;
  void CancelCall(std::uint64_t query_id, const model::LeafName& leaf,
                  const query::CancelCall& cancel) override;
  void RecordLatency(const Query& query, bool whole) override;

 private:
  std::unique_ptr<CallGate> MakeGate(const model::LeafName& leaf) const;
  void AddGatedLeaf(std::size_t leaf, std::size_t host);
  /// Returns the gate through which `host` sends its calls to `leaf`.
  GatedLeaf& GateFor(std::size_t leaf, std::size_t host);
  std::size_t OwnerOf(std::size_t leaf) const;
  /// One-way network delay between `host` and its gate for `leaf`.
  base::Duration DelayToGate(std::size_t leaf, std::size_t host) const;
  base::Duration DelayBetween(std::size_t zone, std::size_t other_zone) const;
  /// Sends the health of `leaf`, as its gate at `host` sees it, to the hosts
  /// that use the gate.
  void PublishHealth(std::size_t leaf, std::size_t host,
                     model::LeafHealth health);
  /// Sends a call directly to a random replica of its shard, without a gate.
  void SendToRandomReplica(std::uint64_t query_id, const model::LeafCall& call);
  void OnRandomReplicaResult(std::uint64_t query_id,
                             const model::LeafCall& call,
                             const model::UpstreamResult& result);
  /// Opens the gates of the hosts whose turn it is at each leaf and closes the
  /// others; repeats after each turn.
  void StartTurn(std::uint64_t turn);
  /// Starts a status read of each leaf by each of its gates; repeats.
  void ReadStatuses();
  /// Restarts a leaf, and the next one after the restart interval.
  void RestartLeaf(std::size_t leaf);
  bool Finished() const;
  LimiterResult CollectResult(BenchResult queries) const;

  const LimiterOptions limiter_;
  std::vector<std::unique_ptr<UpstreamLeaf>> upstreams_;
  /// One per leaf with LimitScope::kOwner; otherwise one per leaf and host,
  /// ordered by leaf.
  std::vector<std::unique_ptr<GatedLeaf>> gates_;
  std::mt19937_64 replica_random_;
  std::uint64_t state_sequence_ = 1;
  std::vector<ColdQuery> cold_queries_;
  /// End of the cold window of the leaf that was restarted last.
  base::TimePoint cold_window_end_{};
};

}  // namespace berylreach::bench
