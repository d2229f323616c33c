// Handling of leaf replies: results, failures and retries.
#include <algorithm>
#include <string>

#include "berylreach/quarantine/fingerprint.h"
#include "berylreach/query/query_runner.h"

namespace berylreach::query {
namespace {

using model::LeafOutcome;
using model::MissingReason;

// Whether the call never reached the leaf. A hedge is then refunded, because it
// caused no load there.
bool NeverReachedLeaf(LeafOutcome outcome) {
  return outcome == LeafOutcome::kNotSent ||
         outcome == LeafOutcome::kOverloaded ||
         outcome == LeafOutcome::kNotOwner ||
         outcome == LeafOutcome::kBlocked || outcome == LeafOutcome::kSuspect ||
         outcome == LeafOutcome::kNoSlot;
}

bool IsConnectionLoss(LeafOutcome outcome) {
  return outcome == LeafOutcome::kLost || outcome == LeafOutcome::kLeafCrashed;
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

void QueryRunner::OnCancelledCallReply(const ActiveCall& call,
                                       const model::LeafReply& reply,
                                       std::vector<Action>& out) {
  if (NeverReachedLeaf(reply.outcome)) context_.HedgeBudget().Refund();
  if (reply.outcome == LeafOutcome::kLeafCrashed)
    RecordLeafLoss(call, reply, out);
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
  // Hedges are not sampled, because they are sent only for calls that are
  // already slow.
  if (!call.hedge) context_.Latency(request_.service).Add(latency);
  ran_ = true;
  if (call.exclusive) {
    std::vector<quarantine::Action> published;
    context_.quarantine().OnCompletedExclusive(fingerprint_, published);
    for (auto& action : published) {
      out.push_back(std::get<quarantine::PublishSuspects>(std::move(action)));
    }
  } else {
    context_.quarantine().OnCompleted(fingerprint_);
  }
  ShardProgress& shard = shards_[call.shard_index];
  shard.result = reply.result;
  --open_shards_;
  CancelCalls(shard, out);
  if (canary_phase_) {
    Launch(out);
    return;
  }
  // The remaining open shards may now be few enough to be hedged earlier.
  if (open_shards_ <= policy_.last_shards) next_hedge_ = clock_.Now();
  SendDueHedges(out);
}

void QueryRunner::OnFailure(const ActiveCall& call,
                            const model::LeafReply& reply,
                            std::vector<Action>& out) {
  context_.Leaves().OnReply(reply, call.version, clock_.Now() - call.sent_at);
  if (!model::ProvesNotRun(reply.outcome)) may_have_run_ = true;
  if (call.replaced_by_hedge && reply.outcome == LeafOutcome::kNotSent) {
    OnReplacedByHedge(call, out);
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
  if (IsConnectionLoss(reply.outcome) && RecordLeafLoss(call, reply, out))
    return;
  const MissingReason reason = ReasonOf(reply.outcome);
  if (reason == MissingReason::kOverloaded) {
    overload_retry_after_ = std::max(overload_retry_after_, reply.retry_after);
  }
  ShardProgress& shard = shards_[call.shard_index];
  // A leaf that has a new owner may be called again.
  if (reply.outcome == LeafOutcome::kNotOwner && !call.exclusive) {
    const model::HostName* owner = context_.Ownership().Owner(call.leaf);
    if (owner != nullptr && *owner != call.to) {
      std::erase(shard.tried, call.leaf);
    }
  }
  // The leaves of the own region are full. The canary queued there only to
  // avoid the latency of another region, so sending it to another leaf spends
  // no retry budget.
  const bool region_full = canary_may_queue_ && RunsCanary() &&
                           reply.outcome == LeafOutcome::kOverloaded &&
                           ++canary_refusals_ <= kMaxFullCanaryLeaves;
  Recover(shard, reason, region_full ? RetryCost::kFree : RetryCost::kBudgeted,
          out);
}

// Handles a call that was dropped from the queue because its hedge replaces it.
// The hedge is then no longer an additional call, so its token is refunded.
void QueryRunner::OnReplacedByHedge(const ActiveCall& call,
                                    std::vector<Action>& out) {
  context_.HedgeBudget().Refund();
  if (!call.hedge) {
    context_.Latency(request_.service).Add(clock_.Now() - call.sent_at);
  }
  ShardProgress& shard = shards_[call.shard_index];
  --shard.hedges;
  std::erase(shard.tried, call.leaf);
  // Sends another call if the hedge has already failed.
  Recover(shard, MissingReason::kFailed, RetryCost::kBudgeted, out);
}

void QueryRunner::OnNoSlot(const ActiveCall& call, std::vector<Action>& out) {
  ShardProgress& shard = shards_[call.shard_index];
  std::erase(shard.tried, call.leaf);
  full_canary_leaves_.push_back(call.leaf);
  if (full_canary_leaves_.size() >= kMaxFullCanaryLeaves)
    QueueCanaryAtFirstChoice();
  if (finished() || !shard.Open() || !shard.active_calls.empty()) return;
  shard.started = false;
  Launch(out);
}

// Handles a refusal by an owner that knows the request as suspect, because
// another copy of it crashed a leaf. This copy continues as a suspect, with
// exclusive calls.
void QueryRunner::OnSuspect(const ActiveCall& call, std::vector<Action>& out) {
  last_crash_ = clock_.Now();
  context_.quarantine().OnSuspectReportedByOwner(fingerprint_);
  Recover(shards_[call.shard_index], MissingReason::kOverloaded,
          RetryCost::kFree, out);
}

// Records a leaf crash, or the loss of a connection that may be a crash.
// Returns whether the request was refused as blocked.
bool QueryRunner::RecordLeafLoss(const ActiveCall& call,
                                 const model::LeafReply& reply,
                                 std::vector<Action>& out) {
  const bool crashed = reply.outcome == LeafOutcome::kLeafCrashed;
  const bool unproven =
      CurrentTrustLevel() == quarantine::TrustLevel::kUnproven || canary_phase_;
  if (unproven) ++unproven_failures_;
  // A lost connection may turn out to be a crash of the leaf. An unproven
  // request becomes suspect at once, so that its next call is exclusive; a
  // proven one only when the owner has confirmed the crash.
  if (!crashed && (call.exclusive || !unproven)) return false;
  last_crash_ = clock_.Now();
  std::vector<quarantine::Action> published;
  quarantine::Quarantine& suspects = context_.quarantine();
  const bool canary = crashed && canary_phase_ && !call.exclusive &&
                      CurrentTrustLevel() != quarantine::TrustLevel::kProven;
  suspects.OnLeafCrash({{fingerprint_, call.exclusive,
                         canary ? quarantine::LeafIdOf(call.leaf) : 0}},
                       published);
  if (crashed && canary_phase_ && ++canary_crashes_ >= 2) {
    suspects.OnSecondCrash(fingerprint_, published);
  }
  for (auto& action : published) {
    out.push_back(std::get<quarantine::PublishSuspects>(std::move(action)));
  }
  Record(crashed ? "leaf_died" : "leaf_lost", call.leaf.value,
         "fingerprint " + std::to_string(fingerprint_), out);
  if (finished() || CurrentTrustLevel() != quarantine::TrustLevel::kBlocked) {
    return false;
  }
  RefuseBlocked(std::chrono::milliseconds(0), out);
  return true;
}

void QueryRunner::Recover(ShardProgress& shard, MissingReason reason,
                          RetryCost cost, std::vector<Action>& out) {
  if (finished() || !shard.Open() || !shard.active_calls.empty()) return;
  const bool too_many_failures =
      canary_phase_ && unproven_failures_ >= kMaxUnprovenFailures;
  if (!too_many_failures && Retry(shard, cost, out)) return;
  if (reason == MissingReason::kVersionGone && TryReplan(out)) return;
  MarkMissing(shard, reason);
  if (canary_phase_) OnCanaryFailed(reason, out);
}

bool QueryRunner::Retry(ShardProgress& shard, RetryCost cost,
                        std::vector<Action>& out) {
  if (!PickReplica(shard)) return false;
  // The retry of a suspect spends no budget: only an exclusive run on the shard
  // whose leaf crashed can clear or block the request, and crashes are rare.
  const bool free = cost == RetryCost::kFree ||
                    CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  base::TokenBucket& budget = context_.RetryBudget();
  if (!free && !budget.TrySpend()) return false;
  if (Send(shard, /*hedge=*/false, /*extra=*/true, out)) return true;
  if (!free) budget.Refund();
  return false;
}

void QueryRunner::OnCanaryFailed(MissingReason reason,
                                 std::vector<Action>& out) {
  ++failed_canaries_;
  const bool give_up = failed_canaries_ >= kMaxCanaryShards ||
                       unproven_failures_ >= kMaxUnprovenFailures ||
                       CurrentTrustLevel() == quarantine::TrustLevel::kSuspect;
  if (give_up) {
    GiveUpOpenShards(reason);
    return;
  }
  LaunchCanary(out);
}

}  // namespace berylreach::query
