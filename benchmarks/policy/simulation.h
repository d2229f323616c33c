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
  virtual ~Simulation() = default;
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;
  BenchResult Run();

 protected:
  // A query under way, by either method.
  struct Query {
    std::size_t host = 0;
    base::TimePoint arrived{};
    std::unique_ptr<query::QueryRunner> runner;
    base::TimePoint wakeup = base::TimePoint::max();
    // Shards without an answer; random replica only.
    std::uint32_t open = 0;
  };

  // The host of the next query.
  virtual std::size_t PickHost();
  virtual void StartRandom(std::uint64_t number);
  // The call of query `number` leaves its host.
  virtual void SendCall(std::uint64_t number, const model::LeafCall& call);
  virtual void CancelCall(std::uint64_t number, const model::LeafName& leaf,
                          const query::CancelCall& cancel);

  void Apply(std::uint64_t number, const std::vector<query::Action>& actions);
  void Deliver(std::uint64_t number, const model::LeafReply& reply);
  void AfterEvent(std::uint64_t number);
  void Wake(std::uint64_t number, base::TimePoint planned);
  virtual void RecordLatency(const Query& query, bool whole);
  // One way between the host of query `number` and `leaf`.
  base::Duration WayTo(std::uint64_t number, const model::LeafName& leaf) const;

  BenchOptions options_;
  EventQueue events_;
  BenchResult result_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<BenchHost>> hosts_;
  std::unordered_map<std::uint64_t, Query> queries_;
  std::uint64_t arrived_ = 0;

 private:
  void ScheduleArrival();
  void Arrive();
  void StartRunner(std::uint64_t number);
  LeafModel& LeafOf(const model::LeafName& name);

  std::vector<std::unique_ptr<LeafModel>> leaves_;
  std::unordered_map<model::CallId, model::LeafName> call_leaves_;
};

}  // namespace berylreach::bench
