// Progress and completion of the orders of a bucket.
#include <algorithm>
#include <string>
#include <utility>

#include "bucket_coordinator.h"
#include "replies.h"

namespace berylreach::orders {

using model::ErrorCode;
using model::ExecutionStatus;
using model::OrderRecord;
using model::OrderState;
using std::chrono::milliseconds;

namespace {

/// Time after the deadline during which the outcome of a sent order may still
/// arrive from the owner of the leaf.
constexpr base::Duration kOutcomeGrace = milliseconds(100);

/// The bucket counts as exclusive for this long after the lease has expired,
/// because another host may take it over only later. Half the clock margin of
/// the takeover; the clocks of two hosts drift apart by less within a lease.
constexpr base::Duration kLeaseGrace = milliseconds(100);

constexpr milliseconds kNotServingRetryAfter{500};

bool Unsent(const OrderRun& run) {
  return run.state == RunState::kReading || run.state == RunState::kClaiming;
}

}  // namespace

void BucketCoordinator::ReconcileRuns(Actions& out) {
  changes_.DropSatisfied(view_);
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    OrderRun& run = (entry++)->second;
    if (Unsent(run)) {
      UpdateUnsentRun(run, out);
    } else if (run.state == RunState::kEnded && !changes_.HasOutcome(run.key)) {
      Erase(OrderKey(run.key));
    }
  }
}

void BucketCoordinator::UpdateUnsentRun(OrderRun& run, Actions& out) {
  const OrderRecord* record = view_.Find(run.key);
  if (record != nullptr && record->nonce == run.nonce) {
    Confirm(run, out);
    return;
  }
  switch (ClassifyUnconfirmed(run)) {
    case ClaimStatus::kAnswered:
      ReplyAll(run, ReplyFromKnownRecord(run), out);
      if (record->payload_hash == run.payload_hash &&
          record->issued_at < run.issued_at)
        changes_.RaiseIssueTime(run.key, run.issued_at, state_.clock.Now());
      Erase(OrderKey(run.key));
      return;
    case ClaimStatus::kNeedsRead:
      SetState(run, RunState::kReading);
      return;
    case ClaimStatus::kClaimable:
      if (run.state == RunState::kReading) {
        SetState(run, RunState::kClaiming);
        claim_queue_.push_back(run.key);
      }
  }
}

void BucketCoordinator::Confirm(OrderRun& run, Actions& out) {
  const base::TimePoint now = state_.clock.Now();
  const OrderRecord* record = view_.Find(run.key);
  if (record->issued_at < run.issued_at)
    changes_.RaiseIssueTime(run.key, run.issued_at, now);
  if (now >= run.deadline || !state_.HasLease()) {
    const bool past_deadline = now >= run.deadline;
    ReplyAll(
        run,
        past_deadline
            ? Refuse(ErrorCode::kDeadlineExceeded,
                     "the store answered too late", ExecutionStatus::kNotRun,
                     kMinRetryAfter)
            : Refuse(ErrorCode::kNotServing, "the host takes no new orders",
                     ExecutionStatus::kNotRun, kNotServingRetryAfter),
        out);
    ReleaseRun(run);
    Erase(OrderKey(run.key));
    return;
  }
  SetState(run, RunState::kSent);
  state_.sent.emplace(run.id, run.key);
  ++state_.counters.sent;
  UpdateWakeup(run);
  const auto budget =
      std::chrono::duration_cast<std::chrono::microseconds>(run.deadline - now);
  out.emplace_back(SendOrder{run.id, run.key.service, run.key.key,
                             std::move(run.payload), budget});
}

void BucketCoordinator::ReleaseAbandonedClaim(const OrderKey& key) {
  const OrderRecord* record = view_.Find(key);
  if (record == nullptr || record->state != OrderState::kClaimed ||
      record->claimer_incarnation != state_.incarnation)
    return;
  const auto run = runs_.find(key);
  if (run != runs_.end() && run->second.nonce == record->nonce) return;
  changes_.SetOutcome(key, record->nonce, OrderState::kReleased, "", 0,
                      state_.clock.Now());
}

void BucketCoordinator::OnOutcome(const OrderKey& key,
                                  model::LeafOutcome outcome,
                                  std::string result, std::uint64_t version,
                                  milliseconds retry_after, Actions& out) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  OrderRun& run = found->second;
  if (outcome == model::LeafOutcome::kOk) {
    ++state_.counters.done;
    model::CallerReply reply = DoneReply(result, version);
    if (result.size() > state_.options.max_outcome_bytes) result.clear();
    EndRun(run, OrderState::kDone, std::move(result), version, std::move(reply),
           out);
  } else if (model::ProvesNotRun(outcome)) {
    ReplyAll(run, RefusalFor(outcome, retry_after), out);
    ReleaseRun(run);
    Erase(key);
  } else if (run.state == RunState::kSent) {
    EndRun(run, OrderState::kUnknown, "", 0, RefusalFor(outcome, retry_after),
           out);
  }
  Advance(out);
}

void BucketCoordinator::EndRun(OrderRun& run, OrderState state,
                               std::string outcome, std::uint64_t version,
                               model::CallerReply reply, Actions& out) {
  SetState(run, RunState::kEnded);
  run.reply = std::move(reply);
  ReplyAll(run, run.reply, out);
  changes_.SetOutcome(run.key, run.nonce, state, std::move(outcome), version,
                      state_.clock.Now());
}

void BucketCoordinator::ReleaseRun(const OrderRun& run) {
  changes_.SetOutcome(run.key, run.nonce, OrderState::kReleased, "", 0,
                      state_.clock.Now());
}

void BucketCoordinator::SetState(OrderRun& run, RunState state) {
  if (run.state == RunState::kReading) --runs_reading_;
  if (state == RunState::kReading) ++runs_reading_;
  const bool was_unsent = Unsent(run);
  run.state = state;
  if (was_unsent && !Unsent(run)) --state_.unsent_orders;
}

void BucketCoordinator::Erase(const OrderKey& key) {
  const auto found = runs_.find(key);
  OrderRun& run = found->second;
  if (Unsent(run)) SetState(run, RunState::kEnded);
  state_.sent.erase(run.id);
  runs_.erase(found);
}

void BucketCoordinator::ExpireRuns(Actions& out) {
  if (state_.clock.Now() < runs_wakeup_) return;
  runs_wakeup_ = base::TimePoint::max();
  for (auto entry = runs_.begin(); entry != runs_.end();)
    ExpireRun((entry++)->second, out);
}

void BucketCoordinator::ExpireRun(OrderRun& run, Actions& out) {
  const base::TimePoint now = state_.clock.Now();
  if (Unsent(run) && now >= run.give_up_at) {
    const bool past_deadline = now >= run.deadline;
    ReplyAll(run,
             Refuse(past_deadline ? ErrorCode::kDeadlineExceeded
                                  : ErrorCode::kStoreUnavailable,
                    "the store did not confirm the order in time",
                    ExecutionIfUnsent(run.key), kNotServingRetryAfter),
             out);
    Erase(OrderKey(run.key));
    return;
  }
  ExpireWaiters(run, out);
  if (run.state == RunState::kSent && now >= run.deadline + kOutcomeGrace) {
    EndRun(run, OrderState::kUnknown, "", 0,
           RefusalFor(model::LeafOutcome::kTimedOut, milliseconds{0}), out);
  }
  UpdateWakeup(run);
}

void BucketCoordinator::ExpireWaiters(OrderRun& run, Actions& out) {
  const base::TimePoint now = state_.clock.Now();
  std::erase_if(run.waiters, [&](const Waiter& waiter) {
    if (now < waiter.deadline) return false;
    // The order may run: it was sent already, or may still be sent for an
    // earlier forward.
    SendReply(waiter.id,
              Refuse(ErrorCode::kDeadlineExceeded,
                     "the order was not answered in time",
                     ExecutionStatus::kMayHaveRun, kInProgressRetryAfter),
              out);
    return true;
  });
}

void BucketCoordinator::UpdateWakeup(const OrderRun& run) {
  if (Unsent(run)) runs_wakeup_ = std::min(runs_wakeup_, run.give_up_at);
  if (run.state == RunState::kSent)
    runs_wakeup_ = std::min(runs_wakeup_, run.deadline + kOutcomeGrace);
  for (const Waiter& waiter : run.waiters)
    runs_wakeup_ = std::min(runs_wakeup_, waiter.deadline);
}

void BucketCoordinator::RefuseUnsent(ErrorCode code, const std::string& message,
                                     milliseconds retry_after, Actions& out) {
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    OrderRun& run = (entry++)->second;
    if (!Unsent(run)) continue;
    ReplyAll(run,
             Refuse(code, message, ExecutionIfUnsent(run.key), retry_after),
             out);
    Erase(OrderKey(run.key));
  }
}

bool BucketCoordinator::ProvenNotRun(const OrderKey& key) const {
  if (!exclusive_ || !confirmed_) return false;
  if (state_.clock.Now() >= state_.lease_expiry + kLeaseGrace) return false;
  const auto run = runs_.find(key);
  if (run != runs_.end() && !Unsent(run->second)) return false;
  const OrderRecord* record = view_.Find(key);
  return record == nullptr || MayReplace(*record);
}

ExecutionStatus BucketCoordinator::ExecutionIfUnsent(
    const OrderKey& key) const {
  return ProvenNotRun(key) ? ExecutionStatus::kNotRun
                           : ExecutionStatus::kMayHaveRun;
}

void BucketCoordinator::ReplyAll(OrderRun& run, const model::CallerReply& reply,
                                 Actions& out) {
  for (const Waiter& waiter : std::exchange(run.waiters, {}))
    SendReply(waiter.id, reply, out);
}

void BucketCoordinator::SendReply(const model::CallId& id,
                                  const model::CallerReply& reply,
                                  Actions& out) {
  if (const auto* refusal = std::get_if<model::Refusal>(&reply)) {
    if (refusal->execution == ExecutionStatus::kNotRun)
      ++state_.counters.not_run;
    if (refusal->execution == ExecutionStatus::kMayHaveRun)
      ++state_.counters.may_have_run;
  }
  out.emplace_back(Reply{{id, reply}});
}

}  // namespace berylreach::orders
