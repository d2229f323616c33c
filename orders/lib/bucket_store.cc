// Reads and group commits of an order journal.
#include <algorithm>
#include <string>
#include <utility>

#include "bucket_coordinator.h"
#include "record_size.h"
#include "replies.h"

namespace berylreach::orders {

using model::ErrorCode;
using model::OrderRecord;
using model::OrderState;
using model::StoreOutcome;
using std::chrono::milliseconds;

namespace {

/// Delay before the next read after a stale one.
constexpr base::Duration kStaleReadDelay = milliseconds(20);

constexpr milliseconds kOutageRetryAfter{1000};

/// A full journal has room again only when records expire.
constexpr milliseconds kFullJournalRetryAfter{60'000};

/// Upper bound of the encoded size of the journal without its records.
constexpr std::size_t kJournalOverheadBytes = 256;

}  // namespace

std::size_t BucketCoordinator::MaxRecordBytes() const {
  return state_.options.max_journal_bytes - kJournalOverheadBytes;
}

bool BucketCoordinator::HasWork() const {
  // If the run of a claim was given up while the outcome of the claim's write
  // is unknown, a read must find out whether the claim exists, so that it is
  // released.
  const bool in_doubt = read_needed_ && !claims_in_flight_.empty();
  return !runs_.empty() || !changes_.empty() || NeedsConfirmingWrite() ||
         in_doubt;
}

void BucketCoordinator::Advance(Actions& out) {
  if (!HasWork()) claim_queue_.clear();
  if (!HasWork() || !store_.MayCall(state_.clock.Now())) return;
  if (read_needed_ || runs_reading_ > 0) {
    StartRead(out);
  } else if (state_.clock.Now() >= NextWrite()) {
    StartWrite(out);
  }
}

void BucketCoordinator::StartRead(Actions& out) {
  const std::uint64_t id = state_.NextCallId(bucket_);
  store_.Begin(StoreAccess::Call::kRead, id, state_.clock.Now());
  ++state_.counters.reads;
  out.emplace_back(ReadJournal{id, bucket_});
}

void BucketCoordinator::StartWrite(Actions& out) {
  const std::size_t limit = state_.options.max_changes_per_write;
  next_view_ = view_;
  const std::size_t expired = next_view_.Expire(state_.clock.WallNow());
  std::size_t changes = changes_.ApplyTo(next_view_, MaxRecordBytes(), limit);
  changes += AddClaims(limit - changes, out);
  if (changes == 0 && !NeedsConfirmingWrite()) {
    changes_.DropSatisfied(view_);
    return;
  }
  state_.counters.expired_records += expired;
  write_confirms_ = exclusive_;
  const std::uint64_t id = state_.NextCallId(bucket_);
  store_.Begin(StoreAccess::Call::kCas, id, state_.clock.Now());
  ++state_.counters.writes;
  out.emplace_back(CasJournal{id, bucket_, revision_, next_view_.ToJournal()});
}

std::size_t BucketCoordinator::AddClaims(std::size_t limit, Actions& out) {
  claims_in_flight_.clear();
  std::deque<OrderKey> queue = std::exchange(claim_queue_, {});
  std::vector<OrderKey> refused;
  for (OrderKey& key : queue) {
    const auto run = runs_.find(key);
    if (run == runs_.end() || run->second.state != RunState::kClaiming)
      continue;
    const OrderRecord* current = next_view_.Find(key);
    if (current != nullptr && current->nonce == run->second.nonce) continue;
    if (current != nullptr && !MayReplace(*current)) {
      SetState(run->second, RunState::kReading);
      continue;
    }
    claim_queue_.push_back(key);
    if (claims_in_flight_.size() >= limit) continue;
    OrderRecord claim = ClaimRecord(run->second);
    const std::size_t replaced =
        current == nullptr ? 0 : RecordSizeBound(*current);
    if (next_view_.bytes() + RecordSizeBound(claim) >
        MaxRecordBytes() + replaced) {
      refused.push_back(std::move(key));
      continue;
    }
    next_view_.Put(std::move(claim));
    claims_in_flight_.push_back(std::move(key));
  }
  for (const OrderKey& key : refused) {
    ReplyAll(runs_.at(key),
             Refuse(ErrorCode::kOverloaded, "the order journal is full",
                    ExecutionIfUnsent(key), kFullJournalRetryAfter),
             out);
    Erase(key);
  }
  if (refused.empty() == full_reported_) {
    full_reported_ = !full_reported_;
    out.emplace_back(RecordEvent{
        full_reported_ ? "order_journal_full" : "order_journal_has_room",
        "orders/" + std::to_string(bucket_),
        std::to_string(next_view_.bytes()) + " bytes"});
  }
  return claims_in_flight_.size();
}

bool BucketCoordinator::MayReplace(const OrderRecord& record) const {
  if (record.state == OrderState::kReleased) return true;
  // A sent order keeps its run until its outcome is known. An order that this
  // incarnation claimed and that has no run was therefore not sent.
  return record.state == OrderState::kClaimed &&
         record.claimer_incarnation == state_.incarnation;
}

OrderRecord BucketCoordinator::ClaimRecord(const OrderRun& run) const {
  OrderRecord record;
  record.service = run.key.service;
  record.key = run.key.key;
  record.payload_hash = run.payload_hash;
  record.issued_at = run.issued_at;
  record.claimer = state_.host;
  record.claimer_incarnation = state_.incarnation;
  record.nonce = run.nonce;
  return record;
}

void BucketCoordinator::OnRead(std::uint64_t id, StoreOutcome outcome,
                               model::OrderJournal journal,
                               std::uint64_t revision, Actions& out) {
  if (!store_.InFlight(StoreAccess::Call::kRead, id)) return;
  if (outcome == StoreOutcome::kOk || outcome == StoreOutcome::kAbsent) {
    OnStoreSuccess(out);
    AcceptRead(id, std::move(journal),
               outcome == StoreOutcome::kOk ? revision : 0, out);
  } else {
    OnStoreFailure(out);
  }
  ExpireRuns(out);
  Advance(out);
}

void BucketCoordinator::AcceptRead(std::uint64_t id,
                                   model::OrderJournal journal,
                                   std::uint64_t revision, Actions& out) {
  if (revision < min_revision_) {
    store_.DelayUntil(state_.clock.Now() + kStaleReadDelay);
    return;
  }
  const bool changed = !has_view_ || revision != revision_;
  has_view_ = true;
  read_needed_ = false;
  revision_ = revision;
  min_revision_ = revision;
  last_accepted_read_id_ = id;
  claims_in_flight_.clear();
  if (changed) {
    view_.Assign(std::move(journal));
    for (const auto& [key, record] : view_.records())
      ReleaseAbandonedClaim(key);
  }
  ReconcileRuns(out);
}

void BucketCoordinator::OnCas(std::uint64_t id, StoreOutcome outcome,
                              std::uint64_t revision, Actions& out) {
  if (!store_.InFlight(StoreAccess::Call::kCas, id)) return;
  switch (outcome) {
    case StoreOutcome::kOk:
      OnStoreSuccess(out);
      OnCasApplied(revision, out);
      break;
    case StoreOutcome::kUnknown:
      // The store may still apply this write at any time, but only while the
      // journal is at revision_. If the next write is for the same revision,
      // only one of the two can be applied.
      ++state_.counters.unknown_writes;
      read_needed_ = true;
      OnStoreFailure(out);
      break;
    default:
      ++state_.counters.conflicts;
      OnStoreSuccess(out);
      min_revision_ = revision_ + 1;
      read_needed_ = true;
      confirmed_ = false;
  }
  ExpireRuns(out);
  Advance(out);
}

void BucketCoordinator::OnCasApplied(std::uint64_t revision, Actions& out) {
  view_ = std::move(next_view_);
  next_view_ = {};
  if (revision != 0) {
    revision_ = revision;
    min_revision_ = revision;
  } else {
    min_revision_ = revision_ + 1;
    read_needed_ = true;
  }
  confirmed_ = exclusive_ && write_confirms_;
  for (const OrderKey& key : std::exchange(claims_in_flight_, {}))
    ReleaseAbandonedClaim(key);
  ReconcileRuns(out);
}

void BucketCoordinator::OnStoreSuccess(Actions& out) {
  store_.End();
  if (!std::exchange(outage_reported_, false)) return;
  out.emplace_back(RecordEvent{"order_store_recovered",
                               "orders/" + std::to_string(bucket_), ""});
}

void BucketCoordinator::OnStoreFailure(Actions& out) {
  store_.Fail(state_.clock.Now());
  if (!store_.failing()) return;
  RefuseUnsent(ErrorCode::kStoreUnavailable, "the store does not answer",
               kOutageRetryAfter, out);
  if (std::exchange(outage_reported_, true)) return;
  out.emplace_back(RecordEvent{"order_store_outage",
                               "orders/" + std::to_string(bucket_), ""});
}

}  // namespace berylreach::orders
