// One run of the order desk in virtual time.
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

// Poisson arrivals at random hosts, leaves behind their owners' queues.
class Simulation {
 public:
  explicit Simulation(const BenchOptions& options);
  BenchResult Run();

 private:
  // A query under way, by either method.
  struct Query {
    std::size_t host = 0;
    base::TimePoint arrived{};
    std::unique_ptr<query::QueryRunner> runner;
    base::TimePoint wakeup = base::TimePoint::max();
    // Shards without an answer; random replica only.
    std::uint32_t open = 0;
  };

  void ScheduleArrival();
  void Arrive();
  void StartRunner(std::uint64_t number);
  void StartRandom(std::uint64_t number);
  void Apply(std::uint64_t number, const std::vector<query::Action>& actions);
  void Deliver(std::uint64_t number, const model::LeafReply& reply);
  void AfterEvent(std::uint64_t number);
  void Wake(std::uint64_t number, base::TimePoint planned);
  void RecordLatency(const Query& query, bool whole);
  LeafModel& LeafOf(const model::LeafName& name);
  // One way between the host of query `number` and `leaf`.
  base::Duration WayTo(std::uint64_t number, const model::LeafName& leaf) const;

  BenchOptions options_;
  EventQueue events_;
  BenchResult result_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<BenchHost>> hosts_;
  std::vector<std::unique_ptr<LeafModel>> leaves_;
  std::unordered_map<std::uint64_t, Query> queries_;
  std::unordered_map<model::CallId, model::LeafName> call_leaves_;
  std::uint64_t arrived_ = 0;
};

}  // namespace berylreach::bench
