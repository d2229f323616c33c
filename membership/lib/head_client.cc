// Reads and writes of the head record, and their retries.
#include "berylreach/membership/head_client.h"

#include <utility>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

/// Maximum number of consecutive conflicts after which a write is retried
/// without a delay: one of the racing writers succeeds in each round.
constexpr int kImmediateConflicts = 3;

}  // namespace

HeadClient::HeadClient(std::uint64_t seed)
    : random_(seed), backoff_(random_()) {}

bool HeadClient::Ready(base::TimePoint now) const {
  return !call_ && now >= not_before_;
}

bool HeadClient::NeedsRead() const {
  return needs_read_ || outdated_revision_.has_value();
}

void HeadClient::StartRead(base::TimePoint now, Actions& out) {
  call_ = Call{NextId(), false, now};
  out.push_back(ReadHead{call_->id});
}

void HeadClient::StartWrite(model::HeadRecord record, base::TimePoint now,
                            Actions& out) {
  record.nonce = random_();
  call_ = Call{NextId(), true, now};
  write_ = HeadWrite{std::move(record), revision_, now};
  out.push_back(CasHead{call_->id, revision_, write_->record});
}

bool HeadClient::OnRead(std::uint64_t id, model::StoreOutcome outcome,
                        const std::optional<model::HeadRecord>& record,
                        std::uint64_t revision, base::TimePoint now) {
  if (!call_ || call_->id != id) return false;
  call_.reset();
  if (outcome == model::StoreOutcome::kUnknown) {
    OnUnknown(now);
    return true;
  }
  backoff_.Reset();
  needs_read_ = false;
  if (record) UpdateIfNewer(*record, revision);
  // If the outcome of a write is still unknown, the record does not have its
  // nonce, so that the write does not prove membership. If the store has yet to
  // process the write, at most one of it and the next write is applied.
  write_.reset();
  if (outdated_revision_) not_before_ = now + backoff_.NextDelay();
  return true;
}

bool HeadClient::OnWrite(std::uint64_t id, model::StoreOutcome outcome,
                         std::uint64_t revision, base::TimePoint now) {
  if (!call_ || call_->id != id) return false;
  call_.reset();
  if (outcome == model::StoreOutcome::kUnknown) {
    needs_read_ = true;
    OnUnknown(now);
    return true;
  }
  backoff_.Reset();
  // The write was already resolved by a record from a watch or a peer.
  if (!write_) return true;
  if (outcome != model::StoreOutcome::kOk) {
    OnConflict(now);
    return true;
  }
  conflicts_ = 0;
  applied_ = std::exchange(write_, std::nullopt);
  UpdateIfNewer(applied_->record, revision);
  return true;
}

void HeadClient::ExpireCall(base::TimePoint now) {
  if (!call_ || now - call_->started < kStoreCallTimeout) return;
  if (call_->is_write) needs_read_ = true;
  call_.reset();
  OnUnknown(now);
}

bool HeadClient::UpdateIfNewer(const model::HeadRecord& record,
                               std::uint64_t revision) {
  if (revision <= revision_) return false;
  if (record.epoch < record_.epoch) return false;
  if (record.document.version < record_.document.version) return false;
  record_ = record;
  revision_ = revision;
  if (outdated_revision_ && revision > *outdated_revision_)
    outdated_revision_.reset();
  if (write_ && write_->record.nonce == record.nonce) {
    applied_ = std::exchange(write_, std::nullopt);
  }
  return true;
}

std::optional<HeadWrite> HeadClient::TakeAppliedWrite() {
  return std::exchange(applied_, std::nullopt);
}

void HeadClient::OnUnknown(base::TimePoint now) {
  not_before_ = now + backoff_.NextDelay();
}

void HeadClient::OnConflict(base::TimePoint now) {
  if (revision_ <= write_->revision) outdated_revision_ = write_->revision;
  write_.reset();
  if (++conflicts_ <= kImmediateConflicts) return;
  conflicts_ = 0;
  not_before_ = now + backoff_.NextDelay();
}

}  // namespace berylreach::membership
