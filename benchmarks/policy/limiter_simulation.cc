// Gates, messages and leaf states of a limiter comparison.
#include "limiter_simulation.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "plain_gate.h"
#include "product_gate.h"

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
    if (limiter_.scope == LimitScope::kOneOwner) {
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
  if (limiter_.scope == LimitScope::kShares)
    slots = std::max<std::uint32_t>(1, slots / options_.hosts);
  if (limiter_.scope == LimitScope::kTurns) slots = 1;
  if (limiter_.cold_rule == ColdRule::kProduct)
    return std::make_unique<ProductGate>(events_.clock(), leaf, slots);
  return std::make_unique<PlainGate>(events_.clock(), leaf, slots,
                                     limiter_.cold_rule);
}

void LimiterSimulation::AddGatedLeaf(std::size_t leaf, std::size_t host) {
  const base::Duration hop =
      Latency(options_.ZoneOfHost(host), options_.ZoneOfLeaf(leaf));
  gates_.push_back(std::make_unique<GatedLeaf>(
      events_, *upstreams_[leaf], MakeGate({std::to_string(leaf)}), hop,
      [this, leaf, host](model::LeafHealth health) {
        Publish(leaf, host, health);
      }));
}

std::size_t LimiterSimulation::OwnerOf(std::size_t leaf) const {
  return std::stoul(
      hosts_[0]->Ownership().Owner({std::to_string(leaf)})->value);
}

GatedLeaf& LimiterSimulation::GateFor(std::size_t leaf, std::size_t host) {
  if (limiter_.scope == LimitScope::kOneOwner) return *gates_[leaf];
  return *gates_[leaf * hosts_.size() + host];
}

base::Duration LimiterSimulation::Latency(std::size_t zone,
                                          std::size_t other) const {
  return zone == other ? limiter_.zone_hop : limiter_.crossing_hop;
}

base::Duration LimiterSimulation::HopToGate(std::size_t leaf,
                                            std::size_t host) const {
  if (limiter_.scope != LimitScope::kOneOwner) return base::Duration::zero();
  const std::size_t owner = OwnerOf(leaf);
  if (owner == host) return base::Duration::zero();
  return Latency(options_.ZoneOfHost(host), options_.ZoneOfHost(owner));
}

void LimiterSimulation::Publish(std::size_t leaf, std::size_t host,
                                model::LeafHealth health) {
  model::LeafState state;
  state.leaf = {std::to_string(leaf)};
  state.sequence = ++state_sequence_;
  state.health = health;
  const auto shard = static_cast<std::uint32_t>(leaf / options_.replicas);
  state.holdings = {{1, shard, options_.shards}};
  if (limiter_.scope != LimitScope::kOneOwner) {
    hosts_[host]->Leaves().Merge(state);
    return;
  }
  for (std::size_t to = 0; to < hosts_.size(); ++to) {
    events_.After(HopToGate(leaf, to),
                  [this, to, state] { hosts_[to]->Leaves().Merge(state); });
  }
}

std::size_t LimiterSimulation::PickHost() {
  const std::uint64_t draw = random_() % 60;
  if (!limiter_.uneven) return draw % hosts_.size();
  return draw < 30 ? 0 : 1 + draw % (hosts_.size() - 1);
}

void LimiterSimulation::SendCall(std::uint64_t number,
                                 const model::LeafCall& call) {
  const std::size_t host = queries_.at(number).host;
  const std::size_t leaf = std::stoul(call.leaf.value);
  const base::Duration hop = HopToGate(leaf, host);
  events_.After(hop, [this, number, call, host, leaf, hop] {
    GateFor(leaf, host)
        .Call(call, [this, number, hop](const model::LeafReply& given) {
          model::LeafReply reply = given;
          // Quarantine of requests that kill leaves is no part of the model.
          if (reply.outcome == model::LeafOutcome::kLeafCrashed)
            reply.outcome = model::LeafOutcome::kLost;
          events_.After(hop, [this, number, reply] { Deliver(number, reply); });
        });
  });
}

void LimiterSimulation::CancelCall(std::uint64_t number,
                                   const model::LeafName& leaf_name,
                                   const query::CancelCall& cancel) {
  const std::size_t host = queries_.at(number).host;
  const std::size_t leaf = std::stoul(leaf_name.value);
  events_.After(HopToGate(leaf, host), [this, leaf, host, cancel] {
    GateFor(leaf, host).Cancel(cancel.id, cancel.only_if_queued);
  });
}

void LimiterSimulation::NextTurn(std::uint64_t turn) {
  const std::size_t hosts = hosts_.size();
  for (std::size_t leaf = 0; leaf < upstreams_.size(); ++leaf) {
    const std::size_t first = (turn * options_.slots + leaf) % hosts;
    for (std::size_t host = 0; host < hosts; ++host) {
      GateFor(leaf, host)
          .SetOpen((host + hosts - first) % hosts < options_.slots);
    }
  }
  events_.After(limiter_.turn, [this, turn] {
    if (!Finished()) NextTurn(turn + 1);
  });
}

void LimiterSimulation::ReadStatuses() {
  for (const auto& gate : gates_) gate->ReadStatus();
  events_.After(limiter_.status_interval, [this] {
    if (!Finished()) ReadStatuses();
  });
}

void LimiterSimulation::RestartNext(std::size_t leaf) {
  upstreams_[leaf % upstreams_.size()]->Restart();
  cold_until_ = events_.Now() + limiter_.down_time + kColdWindow;
  events_.After(limiter_.restart_interval, [this, leaf] {
    if (!Finished()) RestartNext(leaf + 1);
  });
}

bool LimiterSimulation::Finished() const {
  return arrived_ >= options_.queries && queries_.empty();
}

void LimiterSimulation::RecordLatency(const Query& query, bool whole) {
  Simulation::RecordLatency(query, whole);
  const bool cold =
      query.arrived < cold_until_ && query.arrived >= cold_until_ - kColdWindow;
  if (!cold) return;
  const std::chrono::duration<double, std::milli> latency =
      events_.Now() - query.arrived;
  cold_queries_.push_back({latency.count(), whole});
}

LimiterResult LimiterSimulation::RunLimited() {
  if (limiter_.scope == LimitScope::kTurns) NextTurn(0);
  ReadStatuses();
  if (limiter_.restart_interval > base::Duration::zero()) {
    events_.After(limiter_.restart_interval, [this] { RestartNext(0); });
  }
  return Collect(Run());
}

LimiterResult LimiterSimulation::Collect(BenchResult queries) const {
  LimiterResult result;
  result.queries = std::move(queries);
  result.arrived = arrived_;
  result.cold_queries = cold_queries_;
  UpstreamFigures& sum = result.leaves;
  for (const auto& upstream : upstreams_) {
    const UpstreamFigures& one = upstream->figures();
    sum.calls += one.calls;
    sum.found_full += one.found_full;
    sum.shed += one.shed;
    sum.busy += one.busy;
    sum.most_present = std::max(sum.most_present, one.most_present);
    // A cold start that the end of the run has cut short says nothing.
    const base::TimePoint last = events_.Now() - limiter_.restart_interval;
    std::copy_if(one.cold_starts.begin(), one.cold_starts.end(),
                 std::back_inserter(sum.cold_starts),
                 [&](const ColdStart& s) { return s.started_at <= last; });
  }
  const double slots = static_cast<double>(upstreams_.size()) * options_.slots;
  result.busy =
      std::chrono::duration<double>(sum.busy).count() /
      (std::chrono::duration<double>(events_.Now().time_since_epoch()).count() *
       slots);
  return result;
}

}  // namespace berylreach::bench
