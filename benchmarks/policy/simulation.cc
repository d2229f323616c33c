// Arrivals, messages and answers of the benchmark.
#include "simulation.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "berylreach/quarantine/fingerprint.h"
#include "service_times.h"

namespace berylreach::bench {
namespace {

// Queries before measurement, which fill the latency windows.
constexpr std::uint64_t kWarmUp = 2000;
constexpr base::Duration kDeadline = std::chrono::seconds(1);

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
  const double slots = static_cast<double>(leaves_.size()) * options_.slots;
  const double per_second =
      options_.load * slots /
      (options_.ShardsTouched() * ServiceTimes::MeanSeconds());
  std::exponential_distribution<double> gap(per_second);
  const auto delay = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(gap(random_)));
  events_.After(delay, [this] { Arrive(); });
}

std::size_t Simulation::PickHost() { return random_() % hosts_.size(); }

void Simulation::Arrive() {
  const std::uint64_t number = arrived_++;
  Query& query = queries_[number];
  query.host = PickHost();
  query.arrived = events_.Now();
  result_.calls_needed += options_.ShardsTouched();
  if (options_.method == Method::kQueryRunner) {
    StartRunner(number);
  } else {
    StartRandom(number);
  }
  if (arrived_ < options_.queries + kWarmUp) ScheduleArrival();
}

void Simulation::StartRunner(std::uint64_t number) {
  Query& query = queries_.at(number);
  BenchHost& host = *hosts_[query.host];
  model::CallerRequest request;
  request.service = {"desk"};
  request.payload = options_.unproven ? std::to_string(number) : "same";
  if (options_.lookups) {
    request.kind = model::RequestKind::kLookup;
    request.key = std::to_string(number);
  }
  request.deadline = events_.Now() + kDeadline;
  if (!options_.unproven) {
    host.Suspects().OnCompleted(quarantine::FingerprintOf(request));
  }
  query.runner = std::make_unique<query::QueryRunner>(
      events_.clock(), host, std::move(request), options_.hedge);
  std::vector<query::Action> actions;
  query.runner->Start(actions);
  Apply(number, actions);
}

void Simulation::StartRandom(std::uint64_t number) {
  Query& query = queries_.at(number);
  query.open = options_.ShardsTouched();
  for (std::uint32_t i = 0; i < query.open; ++i) {
    const std::uint64_t shard =
        options_.lookups ? random_() % options_.shards : i;
    model::LeafCall call;
    call.id = hosts_[query.host]->NextCallId();
    const std::size_t place =
        shard * options_.replicas + random_() % options_.replicas;
    LeafModel& leaf = *leaves_[place];
    const base::Duration way = options_.Way(query.host, place);
    events_.After(way, [this, &leaf, call, way, number] {
      leaf.Call(call, way, [this, number](const model::LeafReply&) {
        Query& running = queries_.at(number);
        if (--running.open > 0) return;
        RecordLatency(running, true);
        queries_.erase(number);
      });
    });
  }
}

LeafModel& Simulation::LeafOf(const model::LeafName& name) {
  return *leaves_[std::stoul(name.value)];
}

base::Duration Simulation::WayTo(std::uint64_t number,
                                 const model::LeafName& leaf) const {
  return options_.Way(queries_.at(number).host, std::stoul(leaf.value));
}

void Simulation::SendCall(std::uint64_t number, const model::LeafCall& call) {
  const base::Duration way = WayTo(number, call.leaf);
  events_.After(way, [this, number, way, call] {
    LeafOf(call.leaf).Call(call, way, [this, number](const auto& reply) {
      Deliver(number, reply);
    });
  });
}

void Simulation::CancelCall(std::uint64_t number, const model::LeafName& leaf,
                            const query::CancelCall& cancel) {
  events_.After(WayTo(number, leaf), [this, leaf, cancel] {
    LeafOf(leaf).Cancel(cancel.id, cancel.only_if_queued);
  });
}

void Simulation::Apply(std::uint64_t number,
                       const std::vector<query::Action>& actions) {
  for (const query::Action& action : actions) {
    if (const auto* send = std::get_if<query::SendCall>(&action)) {
      call_leaves_[send->call.id] = send->call.leaf;
      SendCall(number, send->call);
    } else if (const auto* c = std::get_if<query::CancelCall>(&action)) {
      CancelCall(number, call_leaves_.at(c->id), *c);
    } else if (const auto* finish = std::get_if<query::Finish>(&action)) {
      const auto* answer = std::get_if<model::Answer>(&finish->reply);
      RecordLatency(queries_.at(number),
                    answer != nullptr && answer->coverage.missing.empty());
    }
  }
  AfterEvent(number);
}

void Simulation::Deliver(std::uint64_t number, const model::LeafReply& reply) {
  const auto found = queries_.find(number);
  if (found == queries_.end()) return;
  std::vector<query::Action> actions;
  found->second.runner->OnLeafReply(reply, actions);
  Apply(number, actions);
}

void Simulation::AfterEvent(std::uint64_t number) {
  Query& query = queries_.at(number);
  if (query.runner->done()) {
    queries_.erase(number);
    return;
  }
  const base::TimePoint next = *query.runner->NextWakeup();
  if (next == query.wakeup) return;
  query.wakeup = next;
  events_.At(std::max(next, events_.Now()),
             [this, number, next] { Wake(number, next); });
}

void Simulation::Wake(std::uint64_t number, base::TimePoint planned) {
  const auto found = queries_.find(number);
  // Another event has moved the wakeup.
  if (found == queries_.end() || found->second.wakeup != planned) return;
  found->second.wakeup = base::TimePoint::max();
  std::vector<query::Action> actions;
  found->second.runner->Tick(actions);
  Apply(number, actions);
}

void Simulation::RecordLatency(const Query& query, bool whole) {
  if (arrived_ <= kWarmUp) return;
  const std::chrono::duration<double, std::milli> latency =
      events_.Now() - query.arrived;
  result_.latencies_ms.push_back(latency.count());
  if (whole) ++result_.whole_answers;
}

}  // namespace berylreach::bench
