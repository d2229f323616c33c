// One run with leaves that hosts in three zones limit in one of several ways.
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

// A query that arrived while a leaf was warming up.
struct ColdQuery {
  double latency_ms = 0;
  bool whole = false;
};

struct LimiterResult {
  BenchResult queries;
  std::uint64_t arrived = 0;
  // The sums and maxima of all leaves.
  UpstreamFigures leaves;
  // Fraction of the slots that were busy.
  double busy = 0;
  // Queries that arrived within kColdWindow of the first start of a leaf.
  std::vector<ColdQuery> cold_queries;
};

class LimiterSimulation final : public Simulation {
 public:
  static constexpr base::Duration kColdWindow = std::chrono::seconds(2);

  LimiterSimulation(const BenchOptions& options, const LimiterOptions& limiter);
  LimiterResult RunLimited();

 protected:
  std::size_t PickHost() override;
  void StartRandom(std::uint64_t number) override;
  void SendCall(std::uint64_t number, const model::LeafCall& call) override;
  void CancelCall(std::uint64_t number, const model::LeafName& leaf,
                  const query::CancelCall& cancel) override;
  void RecordLatency(const Query& query, bool whole) override;

 private:
  std::unique_ptr<CallGate> MakeGate(const model::LeafName& leaf) const;
  void AddGatedLeaf(std::size_t leaf, std::size_t host);
  // The gate that calls of `host` for `leaf` pass through.
  GatedLeaf& GateFor(std::size_t leaf, std::size_t host);
  std::size_t OwnerOf(std::size_t leaf) const;
  // The latency from `host` to that gate, one way.
  base::Duration HopToGate(std::size_t leaf, std::size_t host) const;
  base::Duration Latency(std::size_t zone, std::size_t other) const;
  void Publish(std::size_t leaf, std::size_t host, model::LeafHealth health);
  void SendRandom(std::uint64_t number, const model::LeafCall& call);
  void OnRandomResult(std::uint64_t number, const model::LeafCall& call,
                      const model::UpstreamResult& result);
  void NextTurn(std::uint64_t turn);
  void ReadStatuses();
  void RestartNext(std::size_t leaf);
  bool Finished() const;
  LimiterResult Collect(BenchResult queries) const;

  const LimiterOptions limiter_;
  std::vector<std::unique_ptr<UpstreamLeaf>> upstreams_;
  // One for each leaf (kOneOwner), or one for each leaf and host.
  std::vector<std::unique_ptr<GatedLeaf>> gates_;
  std::mt19937_64 replica_random_;
  std::uint64_t state_sequence_ = 1;
  std::vector<ColdQuery> cold_queries_;
  base::TimePoint cold_until_{};
};

}  // namespace berylreach::bench
