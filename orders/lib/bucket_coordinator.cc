// Handling of newly arrived orders at the coordinator of their bucket.
#include "bucket_coordinator.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "replies.h"

namespace berylreach::orders {

using model::ErrorCode;
using model::ExecutionStatus;
using model::OrderRecord;
using model::OrderState;
using std::chrono::milliseconds;

namespace {

/// Orders may be issued this far in the future, to tolerate clock skew.
constexpr std::chrono::minutes kMaxIssueLead{5};

constexpr milliseconds kOverloadRetryAfter{500};
constexpr milliseconds kNotServingRetryAfter{500};

std::chrono::system_clock::time_point IssueTime(
    const model::OrderForward& forward) {
  return std::chrono::system_clock::time_point(
      milliseconds(forward.issued_at_ms));
}

}  // namespace

BucketCoordinator::BucketCoordinator(CoordinatorState& state,
                                     std::uint32_t bucket)
    : state_(state),
      bucket_(bucket),
      store_(state.options.store_call_timeout, state.options.write_interval,
             state.options.write_burst) {}

void BucketCoordinator::OnForward(const model::OrderForward& forward,
                                  Actions& out) {
  ++state_.counters.forwards;
  OrderKey key{forward.service, forward.key};
  ExpireRuns(out);
  if (RefuseInvalid(forward, key, out)) return;
  const auto run = runs_.find(key);
  if (run != runs_.end()) {
    Join(run->second, forward, out);
  } else {
    AddRun(forward, std::move(key), out);
  }
  Advance(out);
}

bool BucketCoordinator::RefuseInvalid(const model::OrderForward& forward,
                                      const OrderKey& key, Actions& out) {
  const auto wall = state_.clock.WallNow();
  const auto issued_at = IssueTime(forward);
  model::CallerReply reply;
  if (issued_at + kMaxOrderAge < wall) {
    // The order may have run, since the record of an earlier attempt may have
    // expired.
    reply = Refuse(ErrorCode::kKeyExpired, "the order is older than 24 hours",
                   ExecutionStatus::kMayHaveRun, milliseconds{0});
  } else if (issued_at > wall + kMaxIssueLead) {
    reply = Refuse(ErrorCode::kKeyExpired,
                   "the issue time lies more than 5 minutes in the future",
                   ExecutionIfUnsent(key), milliseconds{0});
  } else if (forward.budget <= std::chrono::microseconds::zero()) {
    reply = Refuse(ErrorCode::kDeadlineInPast, "the deadline has passed",
                   ExecutionIfUnsent(key), milliseconds{0});
  } else if (!state_.HasLease()) {
    reply = Refuse(ErrorCode::kNotServing, "the host takes no new orders",
                   ExecutionIfUnsent(key), kNotServingRetryAfter);
  } else {
    return false;
  }
  SendReply(forward.id, reply, out);
  return true;
}

void BucketCoordinator::Join(OrderRun& run, const model::OrderForward& forward,
                             Actions& out) {
  if (base::Hash64(forward.payload) != run.payload_hash) {
    SendReply(forward.id,
              Refuse(ErrorCode::kKeyConflict,
                     "the key belongs to an order with another payload",
                     ExecutionStatus::kNotRun, milliseconds{0}),
              out);
    return;
  }
  const auto issued_at = IssueTime(forward);
  if (issued_at > run.issued_at) {
    run.issued_at = issued_at;
    changes_.RaiseIssueTime(run.key, issued_at, state_.clock.Now());
  }
  if (run.state == RunState::kEnded) {
    SendReply(forward.id, run.reply, out);
    return;
  }
  // A forward that is delivered twice must not be answered twice.
  const bool already_waiting = std::any_of(
      run.waiters.begin(), run.waiters.end(),
      [&](const Waiter& waiter) { return waiter.id == forward.id; });
  if (already_waiting) return;
  run.waiters.push_back({forward.id, state_.clock.Now() + forward.budget});
  UpdateWakeup(run);
}

OrderRun BucketCoordinator::MakeRun(const model::OrderForward& forward,
                                    OrderKey key) {
  const base::TimePoint now = state_.clock.Now();
  OrderRun run;
  run.key = std::move(key);
  run.id = forward.id;
  run.payload = forward.payload;
  run.payload_hash = base::Hash64(forward.payload);
  run.issued_at = IssueTime(forward);
  run.deadline = now + forward.budget;
  run.give_up_at = std::min(run.deadline, now + state_.options.max_store_wait);
  run.nonce = state_.NextNonce();
  run.min_read_id = state_.next_call * kBucketCount;
  run.waiters.push_back({forward.id, run.deadline});
  return run;
}

void BucketCoordinator::AddRun(const model::OrderForward& forward, OrderKey key,
                               Actions& out) {
  OrderRun run = MakeRun(forward, std::move(key));
  const ClaimStatus status = ClassifyUnconfirmed(run);
  if (status == ClaimStatus::kAnswered) {
    ReplyAll(run, ReplyFromKnownRecord(run), out);
    const OrderRecord* record = view_.Find(run.key);
    if (record->payload_hash == run.payload_hash &&
        record->issued_at < run.issued_at)
      changes_.RaiseIssueTime(run.key, run.issued_at, state_.clock.Now());
    return;
  }
  if (RefuseForCapacity(run, out)) return;
  ++state_.unsent_orders;
  if (status == ClaimStatus::kNeedsRead) {
    run.state = RunState::kReading;
    ++runs_reading_;
  } else {
    claim_queue_.push_back(run.key);
  }
  UpdateWakeup(run);
  OrderKey run_key = run.key;
  runs_.emplace(std::move(run_key), std::move(run));
}

bool BucketCoordinator::RefuseForCapacity(const OrderRun& run, Actions& out) {
  const base::TimePoint now = state_.clock.Now();
  if (state_.unsent_orders >= state_.options.max_unsent_orders) {
    SendReply(run.id,
              Refuse(ErrorCode::kOverloaded, "too many orders are waiting",
                     ExecutionIfUnsent(run.key), kOverloadRetryAfter),
              out);
    return true;
  }
  if (!store_.InOutage(now)) return false;
  const auto retry = std::chrono::ceil<milliseconds>(store_.retry_at() - now);
  SendReply(run.id,
            Refuse(ErrorCode::kStoreUnavailable, "the store does not answer",
                   ExecutionIfUnsent(run.key), std::max(kMinRetryAfter, retry)),
            out);
  return true;
}

BucketCoordinator::ClaimStatus BucketCoordinator::ClassifyUnconfirmed(
    const OrderRun& run) const {
  const OrderRecord* record = view_.Find(run.key);
  if (record == nullptr) return ClaimStatus::kClaimable;
  if (record->issued_at + kRecordLifetime <= state_.clock.WallNow())
    return ClaimStatus::kClaimable;
  if (record->payload_hash != run.payload_hash) return ClaimStatus::kAnswered;
  if (record->state == OrderState::kDone) return ClaimStatus::kAnswered;
  if (MayReplace(*record)) return ClaimStatus::kClaimable;
  return IsFresh(run, *record) ? ClaimStatus::kAnswered
                               : ClaimStatus::kNeedsRead;
}

bool BucketCoordinator::IsFresh(const OrderRun& run,
                                const OrderRecord& record) const {
  return record.claimer_incarnation == state_.incarnation ||
         (exclusive_ && confirmed_) ||
         last_accepted_read_id_ >= run.min_read_id;
}

model::CallerReply BucketCoordinator::ReplyFromKnownRecord(
    const OrderRun& run) const {
  const OrderRecord* record = view_.Find(run.key);
  if (record->payload_hash == run.payload_hash) return ReplyFromRecord(*record);
  return Refuse(ErrorCode::kKeyConflict,
                "the key belongs to an order with another payload",
                ExecutionStatus::kNotRun, milliseconds{0});
}

void BucketCoordinator::OnLeaseLost(Actions& out) {
  RefuseUnsent(ErrorCode::kNotServing, "the host takes no new orders",
               kNotServingRetryAfter, out);
  exclusive_ = false;
  confirmed_ = false;
}

void BucketCoordinator::SetExclusive(bool exclusive, Actions& out) {
  if (exclusive == exclusive_) return;
  exclusive_ = exclusive;
  confirmed_ = false;
  write_confirms_ = false;
  Advance(out);
}

void BucketCoordinator::Tick(Actions& out) {
  const base::TimePoint now = state_.clock.Now();
  if (store_.TimedOut(now)) {
    if (store_.call() == StoreAccess::Call::kCas) {
      OnCas(store_.id(), model::StoreOutcome::kUnknown, 0, out);
    } else {
      OnRead(store_.id(), model::StoreOutcome::kUnknown, {}, 0, out);
    }
  }
  ExpireRuns(out);
  Advance(out);
}

std::optional<base::TimePoint> BucketCoordinator::NextWakeup() const {
  base::TimePoint next = runs_wakeup_;
  const bool idle = store_.call() == StoreAccess::Call::kNone;
  if (!idle) next = std::min(next, store_.NextEvent());
  if (idle && HasWork()) {
    base::TimePoint call = store_.NextEvent();
    if (!read_needed_ && runs_reading_ == 0) call = std::max(call, NextWrite());
    next = std::min(next, call);
  }
  if (next == base::TimePoint::max()) return std::nullopt;
  return next;
}

base::TimePoint BucketCoordinator::NextWrite() const {
  if (!claim_queue_.empty() || NeedsConfirmingWrite())
    return store_.NextWrite();
  const auto pending_since = changes_.pending_since();
  if (!pending_since) return base::TimePoint::max();
  return std::max(store_.NextWrite(),
                  *pending_since + state_.options.outcome_delay);
}

std::size_t BucketCoordinator::open_orders() const {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& entry) {
        return entry.second.state != RunState::kEnded;
      }));
}

}  // namespace berylreach::orders
