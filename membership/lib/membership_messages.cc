// Messages between the membership state machines of hosts.
#include <string>
#include <variant>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/membership.h"
#include "berylreach/membership/witness_set.h"

namespace berylreach::membership {

void Membership::OnMessage(const model::HostName& from,
                           std::uint64_t incarnation,
                           const model::PeerMessage& message, Actions& out) {
  BeginEvent();
  if (!started_) return;
  if (const auto* heartbeat = std::get_if<model::Heartbeat>(&message)) {
    OnHeartbeat(from, incarnation, *heartbeat, out);
  } else if (const auto* ack = std::get_if<model::HeartbeatAck>(&message)) {
    OnHeartbeatAck(from, incarnation, *ack, out);
  } else if (const auto* update = std::get_if<model::HeadUpdate>(&message)) {
    OnHeadUpdate(*update, out);
  } else if (const auto* release = std::get_if<model::Release>(&message)) {
    OnRelease(from, incarnation, *release, out);
  } else if (const auto* notice = std::get_if<model::SilenceNotice>(&message)) {
    OnSilenceNotice(from, *notice, out);
  }
  Finish(out);
}

void Membership::OnHeartbeat(const model::HostName& from,
                             std::uint64_t incarnation,
                             const model::Heartbeat& heartbeat, Actions& out) {
  const model::Member* named = FindMember(members(), from);
  const bool known = named != nullptr && named->incarnation == incarnation &&
                     heartbeat.incarnation == incarnation;
  // Delayed messages of an earlier incarnation are dropped.
  if (named != nullptr && !known && heartbeat.epoch <= epoch_) return;
  if (known) {
    detector_.OnHeartbeat(from, incarnation, now_);
    quorums_.ConfirmEpoch(from, incarnation, heartbeat.epoch);
    out.push_back(PeerVersions{
        from, heartbeat.document, heartbeat.host_list_index,
        heartbeat.quarantine_digest, heartbeat.leaf_states_digest});
  }
  ReconcileEpoch(from, heartbeat.epoch, out);
  const bool granted = is_member_ && known && heartbeat.epoch == epoch_;
  out.push_back(
      SendTo{from, model::HeartbeatAck{heartbeat.sequence, self_.incarnation,
                                       epoch_, granted, versions_.document,
                                       versions_.host_list_index,
                                       versions_.quarantine_digest}});
}

void Membership::OnHeartbeatAck(const model::HostName& from,
                                std::uint64_t incarnation,
                                const model::HeartbeatAck& ack, Actions& out) {
  if (FindMember(members(), from, incarnation) != nullptr &&
      ack.incarnation == incarnation) {
    quorums_.ConfirmEpoch(from, incarnation, ack.epoch);
    out.push_back(PeerVersions{from, ack.document, ack.host_list_index,
                               ack.quarantine_digest, std::nullopt});
    if (is_member_) lease_.OnAck(from, incarnation, ack);
  }
  ReconcileEpoch(from, ack.epoch, out);
}

void Membership::OnHeadUpdate(const model::HeadUpdate& update, Actions& out) {
  if (!head_.UpdateIfNewer(update.record, update.revision)) return;
  ProcessHead(HeadSource::kPeer, out);
}

void Membership::OnRelease(const model::HostName& from,
                           std::uint64_t incarnation,
                           const model::Release& release, Actions& out) {
  const bool is_new = releases_.Record(from, incarnation, release);
  quorums_.ConfirmEpoch(from, incarnation, release.epoch);
  ReconcileEpoch(from, release.epoch, out);
  const bool from_member = FindMember(members(), from, incarnation) != nullptr;
  if (!is_new && from_member && release.epoch == epoch_) {
    release_sender_.OnRepeatedRelease(from, epoch_, now_, out);
  }
}

void Membership::OnSilenceNotice(const model::HostName& from,
                                 const model::SilenceNotice& notice,
                                 Actions& out) {
  if (notice.heartbeat_received) {
    if (FindMember(members(), notice.host, notice.incarnation) != nullptr) {
      removal_objections_.OnObjection(notice.host, now_);
      releases_.RecordRelayed(notice.host, notice.incarnation, notice.release);
    }
    return;
  }
  if (!detector_.HasRecentHeartbeat(notice.host, notice.incarnation, now_))
    return;
  model::SilenceNotice answer{notice.host, notice.incarnation, true, {}};
  const model::Member* silent =
      FindMember(members(), notice.host, notice.incarnation);
  const model::Release* release =
      silent == nullptr ? nullptr : releases_.Find(*silent);
  if (release != nullptr) answer.release = *release;
  out.push_back(SendTo{from, std::move(answer)});
}

void Membership::ReconcileEpoch(const model::HostName& from,
                                std::uint64_t epoch, Actions& out) {
  if (epoch < epoch_) SendHead(from, out);
  if (epoch > epoch_) RequestHead(from, out);
}

void Membership::SendHead(const model::HostName& host, Actions& out) const {
  out.push_back(SendTo{host, model::HeadUpdate{record(), head_.revision()}});
}

void Membership::BroadcastHead(Actions& out) const {
  for (const model::Member& member : members()) {
    if (member.host != self_.host) SendHead(member.host, out);
  }
  for (const model::RemovedHost& removed : record().removed_hosts) {
    // The new incarnation of a replaced host gets the message as a member.
    if (FindMember(members(), removed.member.host) != nullptr) continue;
    if (removed.member.host != self_.host) SendHead(removed.member.host, out);
  }
}

void Membership::RequestHead(const model::HostName& host, Actions& out) {
  // The peer answers a heartbeat of an earlier epoch with a HeadUpdate.
  if (now_ < next_head_request_) return;
  next_head_request_ = now_ + kTickInterval;
  ++heartbeat_sequence_;
  SendHeartbeat(host, out);
}

void Membership::SendHeartbeat(const model::HostName& host, Actions& out) {
  out.push_back(SendTo{
      host, model::Heartbeat{heartbeat_sequence_, self_.incarnation, epoch_,
                             versions_.document, versions_.host_list_index,
                             versions_.quarantine_digest,
                             versions_.leaf_states_digest}});
}

}  // namespace berylreach::membership
