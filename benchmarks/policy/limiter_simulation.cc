// Gates, messages and leaf states of a limiter simulation.
#include "limiter_simulation.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "leaf_gate_adapter.h"
#include "plain_gate.h"

namespace berylreach::bench {

LimiterSimulation::LimiterSimulation(const BenchOptions& options,
                                     const LimiterOptions& limiter)
    : Simulation(options),
      limiter_(limiter),
      replica_random_(options.seed + 1000) {
  const std::size_t leaves = std::size_t{options_.shards} * options_.replicas;
  for (std::size_t leaf = 0; leaf < leaves; ++leaf) {
    upstreams_.push_back(std::make_unique<UpstreamLeaf>(
        options_, limiter_, events_, options_.seed * 1000 + leaf));
    if (limiter_.scope == LimitScope::kOwner) {
      AddGatedLeaf(leaf, OwnerOf(leaf));
      continue;
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host)
      AddGatedLeaf(leaf, host);
  }
}

std::unique_ptr<CallGate> LimiterSimulation::MakeGate(
    const model::LeafName& leaf) const {
  std::uint32_t slots = options_.slots;
  if (limiter_.scope == LimitScope::kFixedShares)
    slots = std::max<std::uint32_t>(1, slots / options_.hosts);
  if (limiter_.scope == LimitScope::kRotatingShares) slots = 1;
  if (limiter_.cold_start_rule == ColdStartRule::kLeafGate)
    return std::make_unique<LeafGateAdapter>(events_.clock(), leaf, slots);
  return std::make_unique<PlainGate>(events_.clock(), leaf, slots,
                                     limiter_.cold_start_rule);
}

void LimiterSimulation::AddGatedLeaf(std::size_t leaf, std::size_t host) {
  const base::Duration delay =
      DelayBetween(options_.ZoneOfHost(host), options_.ZoneOfLeaf(leaf));
  gates_.push_back(std::make_unique<GatedLeaf>(
      events_, *upstreams_[leaf], MakeGate({std::to_string(leaf)}), delay,
      [this, leaf, host](model::LeafHealth health) {
        PublishHealth(leaf, host, health);
      }));
}

std::size_t LimiterSimulation::OwnerOf(std::size_t leaf) const {
  return std::stoul(
      hosts_[0]->Ownership().Owner({std::to_string(leaf)})->value);
}

GatedLeaf& LimiterSimulation::GateFor(std::size_t leaf, std::size_t host) {
  if (limiter_.scope == LimitScope::kOwner) return *gates_[leaf];
  return *gates_[leaf * hosts_.size() + host];
}

base::Duration LimiterSimulation::DelayBetween(std::size_t zone,
                                               std::size_t other_zone) const {
  return zone == other_zone ? limiter_.delay_within_zone
                            : limiter_.delay_between_zones;
}

base::Duration LimiterSimulation::DelayToGate(std::size_t leaf,
                                              std::size_t host) const {
  if (limiter_.scope != LimitScope::kOwner) return base::Duration::zero();
  const std::size_t owner = OwnerOf(leaf);
  if (owner == host) return base::Duration::zero();
  return DelayBetween(options_.ZoneOfHost(host), options_.ZoneOfHost(owner));
}

void LimiterSimulation::PublishHealth(std::size_t leaf, std::size_t host,
                                      model::LeafHealth health) {
  model::LeafState state;
  state.leaf = {std::to_string(leaf)};
  state.sequence = ++state_sequence_;
  state.health = health;
  const auto shard = static_cast<std::uint32_t>(leaf / options_.replicas);
  state.holdings = {{1, shard, options_.shards}};
  if (limiter_.scope != LimitScope::kOwner) {
    hosts_[host]->Leaves().Merge(state);
    return;
  }
  for (std::size_t receiver = 0; receiver < hosts_.size(); ++receiver) {
    events_.After(DelayToGate(leaf, receiver), [this, receiver, state] {
      hosts_[receiver]->Leaves().Merge(state);
    });
  }
}

std::size_t LimiterSimulation::PickHost() {
  const std::uint64_t draw = random_() % 60;
  if (!limiter_.uneven) return draw % hosts_.size();
  return draw < 30 ? 0 : 1 + draw % (hosts_.size() - 1);
}

void LimiterSimulation::SendCall(std::uint64_t query_id,
                                 const model::LeafCall& call) {
  const std::size_t host = queries_.at(query_id).host;
  const std::size_t leaf = std::stoul(call.leaf.value);
  const base::Duration delay = DelayToGate(leaf, host);
  events_.After(delay, [this, query_id, call, host, leaf, delay] {
    GateFor(leaf, host)
        .Call(call,
              [this, query_id, delay](const model::LeafReply& gate_reply) {
                model::LeafReply reply = gate_reply;
                // The simulation has no quarantine, so a call whose leaf
                // crashed is only reported as lost.
                if (reply.outcome == model::LeafOutcome::kLeafCrashed)
                  reply.outcome = model::LeafOutcome::kLost;
                events_.After(delay, [this, query_id, reply] {
                  DeliverReply(query_id, reply);
                });
              });
  });
}

void LimiterSimulation::CancelCall(std::uint64_t query_id,
                                   const model::LeafName& leaf_name,
                                   const query::CancelCall& cancel) {
  const std::size_t host = queries_.at(query_id).host;
  const std::size_t leaf = std::stoul(leaf_name.value);
  events_.After(DelayToGate(leaf, host), [this, leaf, host, cancel] {
    GateFor(leaf, host).Cancel(cancel.id, cancel.only_if_queued);
  });
}

void LimiterSimulation::StartTurn(std::uint64_t turn) {
  const std::size_t host_count = hosts_.size();
  for (std::size_t leaf = 0; leaf < upstreams_.size(); ++leaf) {
    const std::size_t first_host = (turn * options_.slots + leaf) % host_count;
    for (std::size_t host = 0; host < host_count; ++host) {
      GateFor(leaf, host)
          .SetOpen((host + host_count - first_host) % host_count <
                   options_.slots);
    }
  }
  events_.After(limiter_.turn_duration, [this, turn] {
    if (!Finished()) StartTurn(turn + 1);
  });
}

void LimiterSimulation::ReadStatuses() {
  for (const auto& gate : gates_) gate->ReadStatus();
  events_.After(limiter_.status_interval, [this] {
    if (!Finished()) ReadStatuses();
  });
}

void LimiterSimulation::RestartLeaf(std::size_t leaf) {
  upstreams_[leaf % upstreams_.size()]->Restart();
  cold_window_end_ = events_.Now() + limiter_.down_time + kColdWindow;
  events_.After(limiter_.restart_interval, [this, leaf] {
    if (!Finished()) RestartLeaf(leaf + 1);
  });
}

bool LimiterSimulation::Finished() const {
  return arrivals_ >= options_.queries && queries_.empty();
}

void LimiterSimulation::RecordLatency(const Query& query, bool whole) {
  Simulation::RecordLatency(query, whole);
  const bool cold = query.arrived_at < cold_window_end_ &&
                    query.arrived_at >= cold_window_end_ - kColdWindow;
  if (!cold) return;
  const std::chrono::duration<double, std::milli> latency =
      events_.Now() - query.arrived_at;
  cold_queries_.push_back({latency.count(), whole});
}

LimiterResult LimiterSimulation::RunLimited() {
  if (limiter_.scope == LimitScope::kRotatingShares) StartTurn(0);
  ReadStatuses();
  if (limiter_.restart_interval > base::Duration::zero()) {
    events_.After(limiter_.restart_interval, [this] { RestartLeaf(0); });
  }
  return CollectResult(Run());
}

LimiterResult LimiterSimulation::CollectResult(BenchResult queries) const {
  LimiterResult result;
  result.queries = std::move(queries);
  result.arrivals = arrivals_;
  result.cold_queries = cold_queries_;
  UpstreamStatistics& total = result.leaves;
  for (const auto& upstream : upstreams_) {
    const UpstreamStatistics& leaf = upstream->statistics();
    total.calls += leaf.calls;
    total.found_all_slots_busy += leaf.found_all_slots_busy;
    total.shed += leaf.shed;
    total.busy_time += leaf.busy_time;
    total.max_calls_at_leaf =
        std::max(total.max_calls_at_leaf, leaf.max_calls_at_leaf);
    // Cold starts that the end of the run may have cut short are left out.
    const base::TimePoint last_complete_start =
        events_.Now() - limiter_.restart_interval;
    std::copy_if(leaf.cold_starts.begin(), leaf.cold_starts.end(),
                 std::back_inserter(total.cold_starts),
                 [&](const ColdStart& start) {
                   return start.started_at <= last_complete_start;
                 });
  }
  const double total_slots =
      static_cast<double>(upstreams_.size()) * options_.slots;
  result.utilization =
      std::chrono::duration<double>(total.busy_time).count() /
      (std::chrono::duration<double>(events_.Now().time_since_epoch()).count() *
       total_slots);
  return result;
}

}  // namespace berylreach::bench
