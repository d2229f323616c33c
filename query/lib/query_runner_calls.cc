// Sending, hedging and cancelling of leaf calls.
#include <algorithm>
#include <chrono>

#include "berylreach/quarantine/fingerprint.h"
#include "berylreach/query/query_runner.h"
#include "berylreach/routing/choose_replica.h"

namespace berylreach::query {

bool QueryRunner::RunsCanary() const {
  return canary_phase_ &&
         CurrentTrustLevel() == quarantine::TrustLevel::kUnproven;
}

std::string QueryRunner::OwnRegion() const {
  return model::RegionOf(context_.Environment(), context_.OwnZone());
}

std::optional<routing::Placement> QueryRunner::PickCanary(
    std::span<const std::uint32_t> shards) const {
  routing::FingerprintQuery query;
  query.version = snapshot_.version;
  query.shard_count = snapshot_.shard_count;
  query.fingerprint = fingerprint_;
  query.region = OwnRegion();
  query.shards = shards;
  query.is_excluded = [this](std::uint32_t shard, const model::LeafName& leaf) {
    const auto& tried = ProgressOf(shard).tried;
    return std::count(tried.begin(), tried.end(), leaf) > 0 ||
           std::count(full_canary_leaves_.begin(), full_canary_leaves_.end(),
                      leaf) > 0;
  };
  if (context_.AnyOwnerUnconfirmed()) {
    query.is_last_resort = [this](const model::LeafName& leaf) {
      return context_.OwnerUnconfirmed(leaf);
    };
  }
  return routing::ChooseByFingerprint(context_.Replicas(request_.service),
                                      query);
}

std::optional<routing::Replica> QueryRunner::PickReplica(
    const ShardProgress& shard) const {
  if (RunsCanary()) {
    const auto placement = PickCanary({&shard.shard, 1});
    if (!placement) return std::nullopt;
    return placement->replica;
  }
  routing::ReplicaQuery query;
  query.version = snapshot_.version;
  query.shard_count = snapshot_.shard_count;
  query.shard = shard.shard;
  query.own_zone = context_.OwnZone();
  query.own_region = OwnRegion();
  query.tried = shard.tried;
  query.suspect = CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  if (context_.AnyOwnerUnconfirmed()) {
    query.is_last_resort = [this](const model::LeafName& leaf) {
      return context_.OwnerUnconfirmed(leaf);
    };
  }
  query.random = context_.Random();
  return routing::ChooseReplica(context_.Replicas(request_.service),
                                context_.Leaves(), query);
}

const model::HostName* QueryRunner::Destination(const model::LeafName& leaf,
                                                bool exclusive) const {
  const model::HostName* owner = context_.Ownership().Owner(leaf);
  if (owner == nullptr || !exclusive) return owner;
  const model::Member* arbiter =
      quarantine::ArbiterOf(fingerprint_, context_.Members());
  return arbiter == nullptr ? nullptr : &arbiter->host;
}

model::LeafCall QueryRunner::MakeCall(const ShardProgress& shard,
                                      const model::LeafName& leaf,
                                      base::Duration budget) const {
  const model::Service* service =
      model::FindService(context_.Environment(), request_.service);
  model::LeafCall call;
  call.leaf = leaf;
  call.service = request_.service;
  call.kind = request_.kind;
  call.priority = service == nullptr ? 0 : service->priority;
  call.shard = shard.shard;
  call.shard_count = snapshot_.shard_count;
  call.version = snapshot_.version;
  call.payload = request_.payload;
  call.key = request_.key;
  call.fingerprint = fingerprint_;
  call.budget = std::chrono::duration_cast<std::chrono::microseconds>(budget);
  return call;
}

bool QueryRunner::Send(ShardProgress& shard, bool hedge, bool extra,
                       std::vector<Action>& out) {
  const base::TimePoint now = clock_.Now();
  const base::Duration budget =
      std::min(request_.deadline, context_.LeaseExpiry()) - now;
  if (budget <= base::Duration::zero()) return false;
  const auto replica = PickReplica(shard);
  if (!replica) return false;
  const bool exclusive =
      CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  const model::HostName* to = Destination(replica->leaf, exclusive);
  if (to == nullptr) return false;

  SendCall action{*to, MakeCall(shard, replica->leaf, budget)};
  action.call.id = context_.NextCallId();
  action.call.is_extra_load = extra;
  action.call.exclusive = exclusive;
  action.call.canary =
      canary_phase_ && CurrentTrustLevel() != quarantine::TrustLevel::kProven;
  action.call.no_wait = RunsCanary() && !hedge && !canary_may_queue_ &&
                        replica->region == OwnRegion();
  ActiveCall call;
  call.to = *to;
  call.leaf = replica->leaf;
  call.shard_index = static_cast<std::size_t>(&shard - shards_.data());
  call.shard = shard.shard;
  call.version = snapshot_.version;
  call.sent_at = now;
  call.hedge = hedge;
  call.exclusive = exclusive;
  calls_.emplace(action.call.id, call);
  shard.active_calls.push_back(action.call.id);
  shard.tried.push_back(replica->leaf);
  shard.started = true;
  context_.Leaves().OnCallSent(replica->leaf);
  const bool resent =
      canary_phase_ && (canary_may_queue_ || !full_canary_leaves_.empty());
  // A canary that is sent again after a leaf had no slot has already added to
  // the budgets.
  if (!extra && !resent) {
    context_.HedgeBudget().RecordWork();
    context_.RetryBudget().RecordWork();
  }
  ScheduleHedge(shard);
  out.push_back(std::move(action));
  return true;
}

void QueryRunner::CancelCalls(ShardProgress& shard, std::vector<Action>& out) {
  for (const model::CallId& id : shard.active_calls) {
    const auto found = calls_.find(id);
    ActiveCall& call = found->second;
    out.push_back(CancelCall{call.to, id});
    context_.Leaves().OnCallEnded(call.leaf);
    may_have_run_ = true;
    if (call.hedge) {
      call.cancelled = true;
      continue;
    }
    // The elapsed time is a lower bound of the latency. Without this sample,
    // slow calls would be missing from the window and the hedge delay would
    // shrink.
    if (shard.result || clock_.Now() >= request_.deadline) {
      context_.Latency(request_.service).Add(clock_.Now() - call.sent_at);
    }
    calls_.erase(found);
  }
  shard.active_calls.clear();
}

void QueryRunner::CancelAllCalls(std::vector<Action>& out) {
  for (ShardProgress& shard : shards_) CancelCalls(shard, out);
}

void QueryRunner::ScheduleHedge(ShardProgress& shard) {
  const base::QuantileWindow& window = context_.Latency(request_.service);
  const auto hedge_time = [&](double quantile) {
    const double level = context_.HedgeBudget().Level();
    const double scarce = std::max(quantile, policy_.scarce_quantile);
    const auto delay = window.Quantile(scarce + level * (quantile - scarce),
                                       policy_.min_samples);
    return delay ? clock_.Now() + *delay : base::TimePoint::max();
  };
  shard.hedge_at = hedge_time(policy_.quantile);
  shard.hedge_at_if_last = hedge_time(policy_.last_quantile);
  next_hedge_ = std::min(next_hedge_, HedgeTime(shard));
}

base::TimePoint QueryRunner::HedgeTime(const ShardProgress& shard) const {
  const bool last = open_shards_ <= policy_.last_shards;
  return last ? std::min(shard.hedge_at, shard.hedge_at_if_last)
              : shard.hedge_at;
}

bool QueryRunner::MayHedge() const { return policy_.canary || !canary_phase_; }

void QueryRunner::SendDueHedges(std::vector<Action>& out) {
  if (finished() || !MayHedge() || clock_.Now() < next_hedge_) return;
  const quarantine::TrustLevel trust_level = CurrentTrustLevel();
  next_hedge_ = base::TimePoint::max();
  // A suspect request must not run twice at the same time, so it is never
  // hedged.
  if (trust_level == quarantine::TrustLevel::kSuspect ||
      trust_level == quarantine::TrustLevel::kBlocked) {
    return;
  }
  for (ShardProgress& shard : shards_) {
    if (!shard.Open() || shard.active_calls.empty()) continue;
    if (HedgeTime(shard) <= clock_.Now()) HedgeShard(shard, out);
    next_hedge_ = std::min(next_hedge_, HedgeTime(shard));
  }
}

void QueryRunner::HedgeShard(ShardProgress& shard, std::vector<Action>& out) {
  shard.hedge_at = shard.hedge_at_if_last = base::TimePoint::max();
  const std::uint32_t max_hedges = canary_phase_ ? 1 : policy_.hedges_per_shard;
  if (shard.hedges >= std::min(max_hedges, policy_.hedges_per_shard)) return;
  auto replica = PickReplica(shard);
  if (!replica && policy_.same_replica) {
    shard.tried.clear();
    replica = PickReplica(shard);
  }
  if (!replica) return;
  base::TokenBucket& budget = context_.HedgeBudget();
  if (!budget.TrySpend()) {
    shard.hedge_at = clock_.Now() + kHedgeRetryInterval;
    return;
  }
  const std::vector<model::CallId> earlier_calls = shard.active_calls;
  if (!Send(shard, /*hedge=*/true, /*extra=*/true, out)) {
    budget.Refund();
    return;
  }
  ++shard.hedges;
  if (!policy_.move_queued) return;
  for (const model::CallId& id : earlier_calls) {
    ActiveCall& call = calls_.at(id);
    call.replaced_by_hedge = true;
    out.push_back(CancelCall{call.to, id, /*only_if_queued=*/true});
  }
}

}  // namespace berylreach::query
