// Discrete-event simulation of queries from several entry hosts to one sharded
// service.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "bench_host.h"
#include "bench_options.h"
#include "bench_result.h"
#include "berylreach/query/query_runner.h"
#include "event_queue.h"
#include "leaf_model.h"

namespace berylreach::bench {

/// Simulates queries that arrive as a Poisson process at random entry hosts.
/// The leaves are LeafModel objects; a derived class can send the calls to
/// others.
class Simulation {
 public:
  explicit Simulation(const BenchOptions& options);
  virtual ~Simulation() = default;
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;
  BenchResult Run();

 protected:
  /// A query in flight.
  struct Query {
    /// Index of the entry host.
    std::size_t host = 0;
    base::TimePoint arrived_at{};
    /// Null with Method::kRandomReplica.
    std::unique_ptr<query::QueryRunner> runner;
    /// Time of the pending call of OnWakeup; max if none is pending.
    base::TimePoint next_wakeup = base::TimePoint::max();
    /// Shards without an answer; used with Method::kRandomReplica only.
    std::uint32_t open_shards = 0;
  };

  /// Returns the index of the entry host of the next query.
  virtual std::size_t PickHost();
  /// Calls one random replica of each shard of the query. For a lookup, the
  /// shard is random, too.
  virtual void CallRandomReplicas(std::uint64_t query_id);
  /// Sends a call from the entry host of the query.
  virtual void SendCall(std::uint64_t query_id, const model::LeafCall& call);
  virtual void CancelCall(std::uint64_t query_id, const model::LeafName& leaf,
                          const query::CancelCall& cancel);

  /// Carries out the actions that the query runner requested.
  void Execute(std::uint64_t query_id,
               const std::vector<query::Action>& actions);
  /// Passes a reply to the query runner; ignored if the query is done.
  void DeliverReply(std::uint64_t query_id, const model::LeafReply& reply);
  /// Removes the query if it is done; schedules its next wakeup otherwise.
  void FinishOrScheduleWakeup(std::uint64_t query_id);
  void OnWakeup(std::uint64_t query_id, base::TimePoint scheduled);
  virtual void RecordLatency(const Query& query, bool whole);
  /// One-way network delay between the entry host of the query and `leaf`.
  base::Duration DelayTo(std::uint64_t query_id,
                         const model::LeafName& leaf) const;

  BenchOptions options_;
  EventQueue events_;
  BenchResult result_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<BenchHost>> hosts_;
  /// Queries in flight by id, which counts up from 0 in order of arrival.
  std::unordered_map<std::uint64_t, Query> queries_;
  /// Number of queries that have arrived.
  std::uint64_t arrivals_ = 0;

 private:
  void ScheduleArrival();
  void OnArrival();
  void StartQueryRunner(std::uint64_t query_id);
  LeafModel& LeafOf(const model::LeafName& name);

  std::vector<std::unique_ptr<LeafModel>> leaves_;
  /// The leaf of each call that a query runner has sent.
  std::unordered_map<model::CallId, model::LeafName> call_leaves_;
};

}  // namespace berylreach::bench
