// Arrivals, query runners and network of the simulation.
#include "simulation.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "berylreach/quarantine/fingerprint.h"
#include "service_times.h"

namespace berylreach::bench {
namespace {

/// Measurement begins after this many arrivals, which fill the hosts' latency
/// windows.
constexpr std::uint64_t kWarmUpQueries = 2000;
/// Time from the arrival of a query to its deadline.
constexpr base::Duration kQueryTimeout = std::chrono::seconds(1);

}  // namespace

Simulation::Simulation(const BenchOptions& options)
    : options_(options), random_(options.seed) {
  for (std::uint32_t i = 0; i < options_.hosts; ++i) {
    hosts_.push_back(std::make_unique<BenchHost>(options_, events_.clock(), i));
  }
  for (std::uint32_t i = 0; i < options_.shards * options_.replicas; ++i) {
    leaves_.push_back(
        std::make_unique<LeafModel>(options_, events_, result_, random_()));
  }
}

BenchResult Simulation::Run() {
  ScheduleArrival();
  while (events_.RunNext()) continue;
  std::sort(result_.latencies_ms.begin(), result_.latencies_ms.end());
  const double seconds =
      std::chrono::duration<double>(events_.Now().time_since_epoch()).count();
  result_.slot_seconds =
      seconds * static_cast<double>(leaves_.size()) * options_.slots;
  return std::move(result_);
}

void Simulation::ScheduleArrival() {
  const double total_slots =
      static_cast<double>(leaves_.size()) * options_.slots;
  const double queries_per_second =
      options_.load * total_slots /
      (options_.ShardsPerRequest() * ServiceTimes::MeanSeconds());
  std::exponential_distribution<double> interval(queries_per_second);
  const auto delay = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(interval(random_)));
  events_.After(delay, [this] { OnArrival(); });
}

std::size_t Simulation::PickHost() { return random_() % hosts_.size(); }

void Simulation::OnArrival() {
  const std::uint64_t query_id = arrivals_++;
  Query& query = queries_[query_id];
  query.host = PickHost();
  query.arrived_at = events_.Now();
  result_.calls_needed += options_.ShardsPerRequest();
  if (options_.method == Method::kQueryRunner) {
    StartQueryRunner(query_id);
  } else {
    CallRandomReplicas(query_id);
  }
  if (arrivals_ < options_.queries + kWarmUpQueries) ScheduleArrival();
}

void Simulation::StartQueryRunner(std::uint64_t query_id) {
  Query& query = queries_.at(query_id);
  BenchHost& host = *hosts_[query.host];
  model::CallerRequest request;
  request.service = {"desk"};
  request.payload = options_.unproven ? std::to_string(query_id) : "same";
  if (options_.lookups) {
    request.kind = model::RequestKind::kLookup;
    request.key = std::to_string(query_id);
  }
  request.deadline = events_.Now() + kQueryTimeout;
  if (!options_.unproven) {
    host.quarantine().OnCompleted(quarantine::FingerprintOf(request));
  }
  query.runner = std::make_unique<query::QueryRunner>(
      events_.clock(), host, std::move(request), options_.hedge);
  std::vector<query::Action> actions;
  query.runner->Start(actions);
  Execute(query_id, actions);
}

void Simulation::CallRandomReplicas(std::uint64_t query_id) {
  Query& query = queries_.at(query_id);
  query.open_shards = options_.ShardsPerRequest();
  for (std::uint32_t i = 0; i < query.open_shards; ++i) {
    const std::uint64_t shard =
        options_.lookups ? random_() % options_.shards : i;
    model::LeafCall call;
    call.id = hosts_[query.host]->NextCallId();
    const std::size_t leaf_index =
        shard * options_.replicas + random_() % options_.replicas;
    LeafModel& leaf = *leaves_[leaf_index];
    const base::Duration delay = options_.Delay(query.host, leaf_index);
    events_.After(delay, [this, &leaf, call, delay, query_id] {
      leaf.Call(call, delay, [this, query_id](const model::LeafReply&) {
        Query& calling = queries_.at(query_id);
        if (--calling.open_shards > 0) return;
        RecordLatency(calling, true);
        queries_.erase(query_id);
      });
    });
  }
}

LeafModel& Simulation::LeafOf(const model::LeafName& name) {
  return *leaves_[std::stoul(name.value)];
}

base::Duration Simulation::DelayTo(std::uint64_t query_id,
                                   const model::LeafName& leaf) const {
  return options_.Delay(queries_.at(query_id).host, std::stoul(leaf.value));
}

void Simulation::SendCall(std::uint64_t query_id, const model::LeafCall& call) {
  const base::Duration delay = DelayTo(query_id, call.leaf);
  events_.After(delay, [this, query_id, delay, call] {
    LeafOf(call.leaf).Call(call, delay, [this, query_id](const auto& reply) {
      DeliverReply(query_id, reply);
    });
  });
}

void Simulation::CancelCall(std::uint64_t query_id, const model::LeafName& leaf,
                            const query::CancelCall& cancel) {
  events_.After(DelayTo(query_id, leaf), [this, leaf, cancel] {
    LeafOf(leaf).Cancel(cancel.id, cancel.only_if_queued);
  });
}

void Simulation::Execute(std::uint64_t query_id,
                         const std::vector<query::Action>& actions) {
  for (const query::Action& action : actions) {
    if (const auto* send = std::get_if<query::SendCall>(&action)) {
      call_leaves_[send->call.id] = send->call.leaf;
      SendCall(query_id, send->call);
    } else if (const auto* cancel = std::get_if<query::CancelCall>(&action)) {
      CancelCall(query_id, call_leaves_.at(cancel->id), *cancel);
    } else if (const auto* finish = std::get_if<query::Finish>(&action)) {
      const auto* answer = std::get_if<model::Answer>(&finish->reply);
      RecordLatency(queries_.at(query_id),
                    answer != nullptr && answer->coverage.missing.empty());
    }
  }
  FinishOrScheduleWakeup(query_id);
}

void Simulation::DeliverReply(std::uint64_t query_id,
                              const model::LeafReply& reply) {
  const auto found = queries_.find(query_id);
  if (found == queries_.end()) return;
  std::vector<query::Action> actions;
  found->second.runner->OnLeafReply(reply, actions);
  Execute(query_id, actions);
}

void Simulation::FinishOrScheduleWakeup(std::uint64_t query_id) {
  Query& query = queries_.at(query_id);
  if (query.runner->done()) {
    queries_.erase(query_id);
    return;
  }
  const base::TimePoint wakeup = *query.runner->NextWakeup();
  if (wakeup == query.next_wakeup) return;
  query.next_wakeup = wakeup;
  events_.At(std::max(wakeup, events_.Now()),
             [this, query_id, wakeup] { OnWakeup(query_id, wakeup); });
}

void Simulation::OnWakeup(std::uint64_t query_id, base::TimePoint scheduled) {
  const auto found = queries_.find(query_id);
  // The query is done, or its wakeup was moved by another event.
  if (found == queries_.end() || found->second.next_wakeup != scheduled) return;
  found->second.next_wakeup = base::TimePoint::max();
  std::vector<query::Action> actions;
  found->second.runner->Tick(actions);
  Execute(query_id, actions);
}

void Simulation::RecordLatency(const Query& query, bool whole) {
  if (arrivals_ <= kWarmUpQueries) return;
  const std::chrono::duration<double, std::milli> latency =
      events_.Now() - query.arrived_at;
  result_.latencies_ms.push_back(latency.count());
  if (whole) ++result_.whole_answers;
}

}  // namespace berylreach::bench
