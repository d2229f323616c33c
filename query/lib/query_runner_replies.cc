// Results, failures and retries.
#include <algorithm>
#include <string>

#include "berylreach/quarantine/fingerprint.h"
#include "berylreach/query/query_runner.h"

namespace berylreach::query {
namespace {

using model::LeafOutcome;
using model::MissingReason;

// Nothing reached the leaf, so a hedge has cost it nothing.
bool NeverReachedLeaf(LeafOutcome outcome) {
  return outcome == LeafOutcome::kNotSent ||
         outcome == LeafOutcome::kOverloaded ||
         outcome == LeafOutcome::kNotOwner ||
         outcome == LeafOutcome::kBlocked || outcome == LeafOutcome::kSuspect ||
         outcome == LeafOutcome::kNoSlot;
}

bool LossOfConnection(LeafOutcome outcome) {
  return outcome == LeafOutcome::kLost || outcome == LeafOutcome::kLeafDied;
}

MissingReason ReasonOf(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kVersionGone:
      return MissingReason::kVersionGone;
    case LeafOutcome::kShed:
    case LeafOutcome::kOverloaded:
      return MissingReason::kOverloaded;
    case LeafOutcome::kDraining:
      return MissingReason::kNoReplica;
    case LeafOutcome::kTimedOut:
      return MissingReason::kTimedOut;
    default:
      return MissingReason::kFailed;
  }
}

}  // namespace

void QueryRunner::SettleWithdrawn(const ActiveCall& call,
                                  const model::LeafReply& reply,
                                  std::vector<Action>& out) {
  if (NeverReachedLeaf(reply.outcome)) context_.HedgeBudget().Refund();
  if (reply.outcome == LeafOutcome::kLeafDied) NoteDeath(call, reply, out);
}

bool QueryRunner::Matches(const ActiveCall& call,
                          const model::LeafReply& reply) const {
  if (reply.leaf != call.leaf) return false;
  if (reply.outcome != LeafOutcome::kOk) return true;
  return reply.version == call.version && reply.shard == call.shard &&
         reply.shard_count == snapshot_.shard_count;
}

void QueryRunner::OnResult(const ActiveCall& call,
                           const model::LeafReply& reply,
                           std::vector<Action>& out) {
  const base::Duration latency = clock_.Now() - call.sent_at;
  context_.Leaves().OnReply(reply, call.version, latency);
  // Only first calls are samples: a hedge is sent for calls known to be slow.
  if (!call.hedge) context_.Latency(request_.service).Add(latency);
  ran_ = true;
  if (call.alone) {
    std::vector<quarantine::Action> published;
    context_.Suspects().OnCompletedAlone(fingerprint_, published);
    for (auto& action : published) {
      out.push_back(std::get<quarantine::PublishSuspects>(std::move(action)));
    }
  } else {
    context_.Suspects().OnCompleted(fingerprint_);
  }
  ShardProgress& shard = shards_[call.place];
  shard.result = reply.result;
  --open_shards_;
  Withdraw(shard, out);
  if (canary_phase_) {
    Launch(out);
    return;
  }
  // The remaining shards may have become the last ones.
  if (open_shards_ <= policy_.last_shards) next_hedge_ = clock_.Now();
  HedgeDue(out);
}

void QueryRunner::OnFailure(const ActiveCall& call,
                            const model::LeafReply& reply,
                            std::vector<Action>& out) {
  context_.Leaves().OnReply(reply, call.version, clock_.Now() - call.sent_at);
  if (!model::ProvesNotRun(reply.outcome)) may_have_run_ = true;
  if (call.moving && reply.outcome == LeafOutcome::kNotSent) {
    OnMoved(call, out);
    return;
  }
  if (call.hedge && NeverReachedLeaf(reply.outcome)) {
    context_.HedgeBudget().Refund();
  }
  if (reply.outcome == LeafOutcome::kBlocked) {
    RefuseBlocked(reply.retry_after, out);
    return;
  }
  if (reply.outcome == LeafOutcome::kNoSlot) return OnNoSlot(call, out);
  if (reply.outcome == LeafOutcome::kSuspect) return OnSuspect(call, out);
  if (LossOfConnection(reply.outcome) && NoteDeath(call, reply, out)) return;
  const MissingReason reason = ReasonOf(reply.outcome);
  if (reason == MissingReason::kOverloaded) {
    overload_retry_after_ = std::max(overload_retry_after_, reply.retry_after);
  }
  ShardProgress& shard = shards_[call.place];
  // A leaf with a new owner can be tried again.
  if (reply.outcome == LeafOutcome::kNotOwner && !call.alone) {
    const model::HostName* owner = context_.Ownership().Owner(call.leaf);
    if (owner != nullptr && *owner != call.to) {
      std::erase(shard.tried, call.leaf);
    }
  }
  // The leaves of the own region are full. The canary was held there only to
  // save the way to another region, so that going there costs no retry.
  const bool region_full = canary_waits_ && RunsCanary() &&
                           reply.outcome == LeafOutcome::kOverloaded &&
                           ++canary_refusals_ <= kMaxCanaryMoves;
  Recover(shard, reason, region_full ? RetryCost::kFree : RetryCost::kBudgeted,
          out);
}

// The hedge has replaced the call and is no longer an extra one.
void QueryRunner::OnMoved(const ActiveCall& call, std::vector<Action>& out) {
  context_.HedgeBudget().Refund();
  if (!call.hedge) {
    context_.Latency(request_.service).Add(clock_.Now() - call.sent_at);
  }
  ShardProgress& shard = shards_[call.place];
  --shard.hedges;
  std::erase(shard.tried, call.leaf);
  // The hedge may have failed first.
  Recover(shard, MissingReason::kFailed, RetryCost::kBudgeted, out);
}

void QueryRunner::OnNoSlot(const ActiveCall& call, std::vector<Action>& out) {
  ShardProgress& shard = shards_[call.place];
  std::erase(shard.tried, call.leaf);
  canary_moves_.push_back(call.leaf);
  if (canary_moves_.size() >= kMaxCanaryMoves) WaitAtFirstChoice();
  if (Decided() || !shard.Open() || !shard.live.empty()) return;
  shard.started = false;
  Launch(out);
}

// Another copy of the request has killed the leaf. This one goes on as a
// suspect.
void QueryRunner::OnSuspect(const ActiveCall& call, std::vector<Action>& out) {
  last_death_ = clock_.Now();
  context_.Suspects().OnSuspectReportedByOwner(fingerprint_);
  Recover(shards_[call.place], MissingReason::kOverloaded, RetryCost::kFree,
          out);
}

// Returns whether the request is refused.
bool QueryRunner::NoteDeath(const ActiveCall& call,
                            const model::LeafReply& reply,
                            std::vector<Action>& out) {
  const bool died = reply.outcome == LeafOutcome::kLeafDied;
  const bool unproven =
      CurrentTrustLevel() == quarantine::TrustLevel::kUnproven || canary_phase_;
  if (unproven) ++risky_failures_;
  // A lost connection may turn out to be a death. An unproven request is
  // suspected at once, so that its next run is alone; a proven one only when
  // the owner knows.
  if (!died && (call.alone || !unproven)) return false;
  last_death_ = clock_.Now();
  std::vector<quarantine::Action> published;
  quarantine::Quarantine& suspects = context_.Suspects();
  const bool canary = died && canary_phase_ && !call.alone &&
                      CurrentTrustLevel() != quarantine::TrustLevel::kProven;
  suspects.OnLeafCrash({{fingerprint_, call.alone,
                         canary ? quarantine::LeafIdOf(call.leaf) : 0}},
                       published);
  if (died && canary_phase_ && ++canary_deaths_ >= 2) {
    suspects.OnSecondCrash(fingerprint_, published);
  }
  for (auto& action : published) {
    out.push_back(std::get<quarantine::PublishSuspects>(std::move(action)));
  }
  Record(died ? "leaf_died" : "leaf_lost", call.leaf.value,
         "fingerprint " + std::to_string(fingerprint_), out);
  if (Decided() || CurrentTrustLevel() != quarantine::TrustLevel::kBlocked) {
    return false;
  }
  RefuseBlocked(std::chrono::milliseconds(0), out);
  return true;
}

void QueryRunner::Recover(ShardProgress& shard, MissingReason reason,
                          RetryCost cost, std::vector<Action>& out) {
  if (Decided() || !shard.Open() || !shard.live.empty()) return;
  const bool risky = canary_phase_ && risky_failures_ >= kMaxRiskyFailures;
  if (!risky && Retry(shard, cost, out)) return;
  if (reason == MissingReason::kVersionGone && TryReplan(out)) return;
  MarkMissing(shard, reason);
  if (canary_phase_) AfterCanaryFailed(reason, out);
}

bool QueryRunner::Retry(ShardProgress& shard, RetryCost cost,
                        std::vector<Action>& out) {
  if (!PickReplica(shard)) return false;
  // The retry of a suspect is not budgeted: running alone on the shard where
  // the leaf died is what clears or blocks the request, and deaths are rare.
  const bool free = cost == RetryCost::kFree ||
                    CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  base::TokenBucket& budget = context_.RetryBudget();
  if (!free && !budget.TrySpend()) return false;
  if (Send(shard, /*hedge=*/false, /*extra=*/true, out)) return true;
  if (!free) budget.Refund();
  return false;
}

void QueryRunner::AfterCanaryFailed(MissingReason reason,
                                    std::vector<Action>& out) {
  ++failed_canaries_;
  const bool give_up = failed_canaries_ >= kMaxCanaryShards ||
                       risky_failures_ >= kMaxRiskyFailures ||
                       CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  if (give_up) {
    GiveUpOpenShards(reason);
    return;
  }
  LaunchCanary(out);
}

}  // namespace berylreach::query
