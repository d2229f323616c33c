// Sending, hedging and withdrawing of leaf calls.
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
           std::count(canary_moves_.begin(), canary_moves_.end(), leaf) > 0;
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
    const auto place = PickCanary({&shard.shard, 1});
    if (!place) return std::nullopt;
    return place->replica;
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
                                                bool alone) const {
  const model::HostName* owner = context_.Ownership().Owner(leaf);
  if (owner == nullptr || !alone) return owner;
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
  const bool alone = CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  const model::HostName* to = Destination(replica->leaf, alone);
  if (to == nullptr) return false;

  SendCall action{*to, MakeCall(shard, replica->leaf, budget)};
  action.call.id = context_.NextCallId();
  action.call.extra = extra;
  action.call.alone = alone;
  action.call.canary =
      canary_phase_ && CurrentTrustLevel() != quarantine::TrustLevel::kProven;
  action.call.no_wait = RunsCanary() && !hedge && !canary_waits_ &&
                        replica->region == OwnRegion();
  ActiveCall call;
  call.to = *to;
  call.leaf = replica->leaf;
  call.place = static_cast<std::size_t>(&shard - shards_.data());
  call.shard = shard.shard;
  call.version = snapshot_.version;
  call.sent_at = now;
  call.hedge = hedge;
  call.alone = alone;
  calls_.emplace(action.call.id, call);
  shard.live.push_back(action.call.id);
  shard.tried.push_back(replica->leaf);
  shard.started = true;
  context_.Leaves().OnCallSent(replica->leaf);
  const bool sent_on =
      canary_phase_ && (canary_waits_ || !canary_moves_.empty());
  // A canary that was sent on has earned already.
  if (!extra && !sent_on) {
    context_.HedgeBudget().Earn();
    context_.RetryBudget().Earn();
  }
  ScheduleHedge(shard);
  out.push_back(std::move(action));
  return true;
}

void QueryRunner::Withdraw(ShardProgress& shard, std::vector<Action>& out) {
  for (const model::CallId& id : shard.live) {
    const auto found = calls_.find(id);
    ActiveCall& call = found->second;
    out.push_back(CancelCall{call.to, id});
    context_.Leaves().OnCallEnded(call.leaf);
    may_have_run_ = true;
    if (call.hedge) {
      call.withdrawn = true;
      continue;
    }
    // The elapsed time is a lower bound of the latency. Without it slow calls
    // would vanish from the window and the hedge delay would sink.
    if (shard.result || clock_.Now() >= request_.deadline) {
      context_.Latency(request_.service).Add(clock_.Now() - call.sent_at);
    }
    calls_.erase(found);
  }
  shard.live.clear();
}

void QueryRunner::WithdrawAll(std::vector<Action>& out) {
  for (ShardProgress& shard : shards_) Withdraw(shard, out);
}

void QueryRunner::ScheduleHedge(ShardProgress& shard) {
  const base::QuantileWindow& window = context_.Latency(request_.service);
  const auto due = [&](double quantile) {
    const double level = context_.HedgeBudget().Level();
    const double scarce = std::max(quantile, policy_.scarce_quantile);
    const auto delay = window.Quantile(scarce + level * (quantile - scarce),
                                       policy_.min_samples);
    return delay ? clock_.Now() + *delay : base::TimePoint::max();
  };
  shard.hedge_at = due(policy_.quantile);
  shard.last_hedge_at = due(policy_.last_quantile);
  next_hedge_ = std::min(next_hedge_, HedgeTime(shard));
}

base::TimePoint QueryRunner::HedgeTime(const ShardProgress& shard) const {
  const bool last = open_shards_ <= policy_.last_shards;
  return last ? std::min(shard.hedge_at, shard.last_hedge_at) : shard.hedge_at;
}

bool QueryRunner::HedgingOpen() const {
  return policy_.canary || !canary_phase_;
}

void QueryRunner::HedgeDue(std::vector<Action>& out) {
  if (Decided() || !HedgingOpen() || clock_.Now() < next_hedge_) return;
  const quarantine::TrustLevel standing = CurrentTrustLevel();
  next_hedge_ = base::TimePoint::max();
  // A suspect runs once at a time, so it is never hedged.
  if (standing == quarantine::TrustLevel::kSuspect ||
      standing == quarantine::TrustLevel::kBlocked) {
    return;
  }
  for (ShardProgress& shard : shards_) {
    if (!shard.Open() || shard.live.empty()) continue;
    if (HedgeTime(shard) <= clock_.Now()) HedgeShard(shard, out);
    next_hedge_ = std::min(next_hedge_, HedgeTime(shard));
  }
}

void QueryRunner::HedgeShard(ShardProgress& shard, std::vector<Action>& out) {
  shard.hedge_at = shard.last_hedge_at = base::TimePoint::max();
  const std::uint32_t most = canary_phase_ ? 1 : policy_.hedges_per_shard;
  if (shard.hedges >= std::min(most, policy_.hedges_per_shard)) return;
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
  const std::vector<model::CallId> earlier = shard.live;
  if (!Send(shard, /*hedge=*/true, /*extra=*/true, out)) {
    budget.Refund();
    return;
  }
  ++shard.hedges;
  if (!policy_.move_queued) return;
  for (const model::CallId& id : earlier) {
    ActiveCall& call = calls_.at(id);
    call.moving = true;
    out.push_back(CancelCall{call.to, id, /*only_if_queued=*/true});
  }
}

}  // namespace berylreach::query
