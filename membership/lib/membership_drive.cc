// Timed steps of the membership state machine: heartbeats, takeovers, store
// calls and the duties of the delegates.
#include <algorithm>
#include <string>
#include <utility>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/delegates.h"
#include "berylreach/membership/head_edits.h"
#include "berylreach/membership/membership.h"
#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

void Membership::SendDueHeartbeats(Actions& out) {
  if (!is_member_ || now_ < next_heartbeat_) return;
  next_heartbeat_ = now_ + kHeartbeatInterval;
  ++heartbeat_sequence_;
  lease_.HeartbeatSent(heartbeat_sequence_, now_);
  for (const model::Member& witness : WitnessesOf(members(), self_.host)) {
    SendHeartbeat(witness.host, out);
  }
}

void Membership::AdvanceTakeovers(Actions& out) {
  if (is_member_) {
    fences_.Update(record(), self_.host, now_);
    for (model::LeafName& leaf : takeovers_.Advance(record(), now_)) {
      out.push_back(LeafTakenOver{std::move(leaf)});
    }
  }
  release_sender_.Repeat(record(), releases_, /*to_all=*/!is_member_, now_,
                         out);
}

void Membership::StartStoreCall(Actions& out) {
  head_.ExpireCall(now_);
  if (!started_ || has_left_ || !head_.Ready(now_)) return;
  if (head_.NeedsRead()) {
    head_.StartRead(now_, out);
    return;
  }
  if (TryLeave(out) || TryJoin(out) || TryRemoveSilent(out) ||
      TryDropFenced(out)) {
    return;
  }
  RenewThroughStore(out);
}

bool Membership::TryLeave(Actions& out) {
  if (!leaving_) return false;
  if (!is_member_) {
    has_left_ = true;
    return true;
  }
  model::HeadRecord next =
      WithRemoved(record(), {self_.host}, quorums_, MakeFencedPredicate());
  next.writer = self_.host.value;
  head_.StartWrite(std::move(next), now_, out);
  return true;
}

bool Membership::TryJoin(Actions& out) {
  if (is_member_) return false;
  // A host that is not a member has no other store call to start.
  if (now_ < rejoin_at_) return true;
  head_.StartWrite(WithJoined(record(), self_), now_, out);
  return true;
}

void Membership::UpdateRemovalCandidates(Actions& out) {
  removal_objections_.SetCandidates(is_member_
                                        ? detector_.RemovalCandidates(now_)
                                        : std::vector<model::HostName>(),
                                    now_);
  for (const model::HostName& host :
       removal_objections_.HostsToInquireAbout(now_)) {
    const model::Member* silent = FindMember(members(), host);
    if (silent == nullptr) continue;
    for (const model::Member& witness : WitnessesOf(members(), host)) {
      if (witness.host == self_.host) continue;
      out.push_back(SendTo{
          witness.host,
          model::SilenceNotice{
              host, silent->incarnation, /*heartbeat_received=*/false, {}}});
    }
  }
}

bool Membership::TryRemoveSilent(Actions& out) {
  if (!HoldsLease()) return false;
  const std::vector<model::HostName> removable =
      removal_objections_.Removable(detector_.HearsFromAtLeastHalf(now_), now_);
  if (removable.empty()) return false;
  for (const model::HostName& host : removable) {
    Record("removal_proposed", host.value, "no heartbeat", out);
  }
  model::HeadRecord next =
      WithRemoved(record(), removable, quorums_, MakeFencedPredicate());
  next.writer = self_.host.value;
  head_.StartWrite(std::move(next), now_, out);
  return true;
}

bool Membership::TryDropFenced(Actions& out) {
  // Without this cleanup, the list of removed hosts in the head record would
  // grow without limit if hosts restart repeatedly, each time before their
  // failure is detected. Only the first delegate does it.
  if (delegate_rank_ != 0U || !HoldsLease()) return false;
  model::HeadRecord next = WithoutFenced(record(), MakeFencedPredicate());
  if (next.removed_hosts == record().removed_hosts) return false;
  cleanup_write_open_ = true;
  next.writer = self_.host.value;
  head_.StartWrite(std::move(next), now_, out);
  return true;
}

FencedPredicate Membership::MakeFencedPredicate() const {
  return [this](const model::RemovedHost& removed) {
    return fences_.Fenced(removed, record(), now_);
  };
}

void Membership::RenewThroughStore(Actions& out) {
  const bool expires_soon = lease_.expiry() < now_ + kStoreRenewalThreshold;
  if (!expires_soon || now_ < next_store_renewal_) return;
  next_store_renewal_ = now_ + kStoreRetryInterval;
  // Once applied, a write of the otherwise unchanged record proves that this
  // host was still a member, which extends the lease.
  model::HeadRecord next = record();
  next.writer = self_.host.value;
  head_.StartWrite(std::move(next), now_, out);
}

void Membership::RunDelegateDuties(Actions& out) {
  delegate_rank_.reset();
  if (!is_member_) return;
  delegate_rank_ =
      DelegateRank(members(), detector_.Suspects(now_), self_.host);
  if (!delegate_rank_) return;
  if (watch_.ShouldIssue(now_)) {
    watch_.Issue(head_.NextId(), head_.revision(), now_, out);
  }
  const auto interval = *delegate_rank_ == 0 ? kFirstDelegatePollInterval
                                             : kSecondDelegatePollInterval;
  next_host_list_poll_ = std::min(next_host_list_poll_, now_ + interval);
  if (now_ < next_host_list_poll_) return;
  next_host_list_poll_ = now_ + interval;
  out.push_back(PollHostList{});
}

}  // namespace berylreach::membership
