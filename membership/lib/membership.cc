// Events of the membership state machine, adoption of head records, and
// accessors.
#include "berylreach/membership/membership.h"

#include <algorithm>
#include <utility>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

Membership::Membership(const base::Clock& clock, model::Member self)
    : clock_(clock),
      self_(std::move(self)),
      now_(clock.Now()),
      last_event_(now_),
      head_(self_.incarnation),
      detector_(self_.host),
      fences_(releases_),
      takeovers_(self_.host, releases_, fences_),
      release_sender_(self_.host),
      // An acknowledgement does not name the incarnation that it answers, so
      // two incarnations of a host must not use the same sequence.
      heartbeat_sequence_(self_.incarnation >> 1),
      next_heartbeat_(now_),
      next_store_renewal_(now_),
      next_host_list_poll_(now_),
      next_head_request_(now_),
      member_since_(now_),
      rejoin_at_(now_),
      rejoin_delay_(kRejoinDelay) {}

void Membership::Start(Actions& out) {
  BeginEvent();
  started_ = true;
  Finish(out);
}

void Membership::Tick(Actions& out) {
  BeginEvent();
  Finish(out);
}

void Membership::OnHeadRead(std::uint64_t id, model::StoreOutcome outcome,
                            const std::optional<model::HeadRecord>& record,
                            std::uint64_t revision, Actions& out) {
  BeginEvent();
  if (watch_.IsOpen(id)) {
    const bool newer = record && head_.UpdateIfNewer(*record, revision);
    watch_.OnResult(id, outcome, newer, now_);
  } else {
    head_.OnRead(id, outcome, record, revision, now_);
  }
  ProcessHead(HeadSource::kStore, out);
  Finish(out);
}

void Membership::OnHeadCas(std::uint64_t id, model::StoreOutcome outcome,
                           std::uint64_t revision, Actions& out) {
  BeginEvent();
  head_.OnWrite(id, outcome, revision, now_);
  ProcessHead(HeadSource::kStore, out);
  Finish(out);
}

void Membership::Leave(Actions& out) {
  BeginEvent();
  leaving_ = true;
  if (!is_member_ && !head_.HasOpenWrite()) has_left_ = true;
  Finish(out);
}

void Membership::SetVersions(const Versions& versions, Actions& out) {
  BeginEvent();
  versions_ = versions;
  lease_.SetDocumentVersion(versions.document.version);
  Finish(out);
}

void Membership::SetOwnedLeaves(std::uint64_t epoch,
                                const std::vector<model::LeafName>& leaves,
                                Actions& out) {
  BeginEvent();
  if (epoch != epoch_ || !is_member_) return;
  takeovers_.SetOwned(epoch, leaves);
  Finish(out);
}

void Membership::SetHeldLeaves(std::uint64_t epoch,
                               const std::vector<model::LeafName>& held_leaves,
                               Actions& out) {
  BeginEvent();
  if (epoch != epoch_) return;
  release_sender_.SetHeldLeaves(epoch, held_leaves, record(), now_, out);
  Finish(out);
}

base::TimePoint Membership::NextWakeup() const {
  return started_ ? now_ + kTickInterval : base::TimePoint::max();
}

bool Membership::HoldsLease() const {
  return is_member_ && clock_.Now() < lease_.expiry();
}

bool Membership::TakeoverComplete(const model::LeafName& leaf) const {
  return is_member_ && takeovers_.IsComplete(epoch_, leaf);
}

void Membership::BeginEvent() {
  now_ = clock_.Now();
  // After this process was suspended, the other members look silent because it
  // did not receive their heartbeats.
  if (now_ - last_event_ > kSuspensionThreshold) detector_.RestartTimers(now_);
  last_event_ = now_;
}

void Membership::Finish(Actions& out) {
  RecordLeaseChange(out);
  SendDueHeartbeats(out);
  AdvanceTakeovers(out);
  UpdateRemovalCandidates(out);
  StartStoreCall(out);
  RunDelegateDuties(out);
}

void Membership::ProcessHead(HeadSource source, Actions& out) {
  const std::optional<HeadWrite> applied = head_.TakeAppliedWrite();
  const std::uint64_t previous_epoch = epoch_;
  Adopt(source, out);
  // Takeovers by other members may wait until the fenced entries are dropped.
  if (applied && std::exchange(cleanup_write_open_, false) &&
      epoch_ == previous_epoch)
    BroadcastHead(out);
  if (!applied || !is_member_ || applied->record.epoch != epoch_) return;
  lease_.OnStoreRenewal(applied->started, applied->record.document.version);
}

void Membership::Adopt(HeadSource source, Actions& out) {
  const model::HeadRecord& head = record();
  const bool newer_document = head.document.version > announced_document_;
  if (head.epoch > epoch_) {
    StartEpoch(source, out);
  } else if (newer_document) {
    out.push_back(HeadChanged{head});
  }
  if (!newer_document) return;
  announced_document_ = head.document.version;
  out.push_back(DocumentAnnounced{head.document});
}

void Membership::StartEpoch(HeadSource source, Actions& out) {
  const model::HeadRecord& head = record();
  const bool was_member = is_member_;
  epoch_ = head.epoch;
  is_member_ =
      FindMember(head.members, self_.host, self_.incarnation) != nullptr;
  lease_.StartEpoch(epoch_, WitnessesOf(head.members, self_.host));
  detector_.StartEpoch(head.members, now_);
  quorums_.StartEpoch(head);
  quorums_.ConfirmEpoch(self_.host, self_.incarnation, epoch_);
  releases_.Prune(head);
  Record("epoch_adopted", std::to_string(epoch_),
         std::to_string(head.members.size()) + " members", out);
  if (is_member_ && !was_member) OnBecameMember(out);
  if (!is_member_ && was_member) OnRemoved(out);
  out.push_back(HeadChanged{head});
  if (source == HeadSource::kStore) BroadcastHead(out);
  next_heartbeat_ = now_;
}

void Membership::OnBecameMember(Actions& out) {
  member_since_ = now_;
  Record("joined", self_.host.value, "", out);
}

void Membership::OnRemoved(Actions& out) {
  lease_.Drop();
  takeovers_.Clear();
  Record(leaving_ ? "left" : "removed", self_.host.value, "", out);
  if (leaving_) has_left_ = true;
  const bool was_stable = now_ - member_since_ >= kStableMembership;
  if (was_stable) rejoin_delay_ = kRejoinDelay;
  rejoin_at_ = now_ + rejoin_delay_;
  rejoin_delay_ = std::min<base::Duration>(rejoin_delay_ * 2, kMaxRejoinDelay);
}

void Membership::RecordLeaseChange(Actions& out) {
  const bool holds = HoldsLease();
  if (holds == held_lease_) return;
  held_lease_ = holds;
  Record(holds ? "lease_gained" : "lease_lost", self_.host.value, "", out);
}

void Membership::Record(std::string type, std::string subject,
                        std::string detail, Actions& out) const {
  out.push_back(
      RecordEvent{std::move(type), std::move(subject), std::move(detail)});
}

}  // namespace berylreach::membership
