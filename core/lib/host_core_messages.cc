// Messages from other hosts, and changes of members and documents.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "berylreach/core/host_core.h"
#include "berylreach/membership/witness_set.h"
#include "berylreach/orders/bucket.h"

namespace berylreach::core {
namespace {

// Time after which the leaf calls of a removed host have ended: its serving
// lease (1.5 s) plus the clock margin (200 ms).
constexpr std::chrono::milliseconds kRemovedHostCallTimeout{1700};

}  // namespace

void HostCore::Deliver(const model::HostName& from, std::uint64_t incarnation,
                       const model::PeerMessage& message) {
  if (const auto* reply = std::get_if<model::LeafReply>(&message)) {
    OnLeafReply(*reply);
  } else if (const auto* call = std::get_if<model::LeafCall>(&message)) {
    OnLeafCall(from, *call);
  } else if (const auto* cancel = std::get_if<model::LeafCancel>(&message)) {
    arbiter_.OnCancel(*cancel);
    leaf_owner_.OnCancel(*cancel);
  } else if (const auto* forward = std::get_if<model::OrderForward>(&message)) {
    orders_.OnForward(from, *forward);
  } else if (const auto* order = std::get_if<model::OrderReply>(&message)) {
    if (!orders_.OnOrderReply(*order)) caller_requests_.OnOrderReply(*order);
  } else if (const auto* states = std::get_if<model::LeafStates>(&message)) {
    OnLeafStates(from, *states);
  } else if (const auto* list = std::get_if<model::HostListUpdate>(&message)) {
    AdoptHostList(list->list, /*publish=*/false);
  } else if (const auto* suspects =
                 std::get_if<model::SuspectUpdate>(&message)) {
    state_.quarantine().Merge(*suspects);
    leaf_owner_.RefuseSuspects();
    arbiter_.Tick();
  } else {
    membership::Actions membership_actions;
    membership_.OnMessage(from, incarnation, message, membership_actions);
    Execute(membership_actions);
    rollout::Actions rollout_actions;
    rollout_.OnMessage(from, message, rollout_actions);
    Execute(rollout_actions);
  }
}

void HostCore::OnLeafReply(const model::LeafReply& reply) {
  if (arbiter_.OnReply(reply) || orders_.OnLeafReply(reply)) return;
  caller_requests_.OnLeafReply(reply);
}

void HostCore::OnLeafCall(const model::HostName& from,
                          const model::LeafCall& call) {
  if (arbiter_.Arbitrates(from, call)) {
    arbiter_.OnCall(from, call);
  } else {
    leaf_owner_.OnCall(from, call);
  }
}

void HostCore::OnLeafStates(const model::HostName& from,
                            const model::LeafStates& states) {
  // An empty message requests all states of this host.
  if (states.states.empty()) return leaf_owner_.PublishAllTo(from);
  for (const model::LeafState& state : states.states) state_.OnLeafState(state);
}

void HostCore::OnPeerVersions(const membership::PeerVersions& versions) {
  rollout::Actions actions;
  rollout_.OnPeerDocument(versions.host, versions.document, actions);
  Execute(actions);
  if (versions.host_list_index < host_list_.index) {
    outbox_.Send(versions.host, model::HostListUpdate{host_list_});
  }
  if (versions.quarantine_digest != state_.quarantine().Digest()) {
    outbox_.Send(versions.host, state_.quarantine().Entries());
  }
  if (!versions.leaf_states_digest) return;
  if (state_.Leaves().StatesDigest(versions.host) !=
      *versions.leaf_states_digest) {
    outbox_.Send(versions.host, model::LeafStates{});
  }
}

void HostCore::AdoptHostList(const model::HostList& list, bool publish) {
  if (list.index <= host_list_.index && host_list_.index != 0) return;
  host_list_ = list;
  state_.Leaves().ApplyHostList(list);
  std::set<model::LeafName> leaving;
  for (const model::HostListEntry& entry : list.entries) {
    if (entry.leaving) leaving.insert({entry.node});
  }
  leaf_owner_.SetLeaving(leaving);
  if (!publish) return;
  for (const model::HostName& host : OtherMembers()) {
    outbox_.Send(host, model::HostListUpdate{host_list_});
  }
}

void HostCore::OnHeadChanged(const model::HeadRecord& record) {
  const auto previous = std::exchange(members_, record.members);
  std::vector<model::HostName> joined;
  for (const model::Member& member : members_) {
    const bool known =
        std::find(previous.begin(), previous.end(), member) != previous.end();
    if (!known && member.host != outbox_.self()) joined.push_back(member.host);
  }
  // Removed hosts remain peers, since they may still answer calls. A host that
  // was replaced is reached only at the address of its new incarnation.
  std::vector<model::Member> peers = members_;
  for (const model::RemovedHost& removed : record.removed_hosts) {
    if (membership::FindMember(members_, removed.member.host) == nullptr)
      peers.push_back(removed.member);
  }
  outbox_.Emit(SetPeers{std::move(peers)});
  rollout_.SetPeers(OtherMembers());
  Adopt();
  for (const model::Member& member : previous) HandleRemoval(member, record);
  for (const model::HostName& host : joined) {
    HandleRejoin(host);
    leaf_owner_.PublishAllTo(host);
  }
}

void HostCore::HandleRemoval(const model::Member& member,
                             const model::HeadRecord& record) {
  if (member.host == outbox_.self()) return;
  const auto same_host = [&](const model::Member& other) {
    return other.host == member.host;
  };
  const auto successor =
      std::find_if(record.members.begin(), record.members.end(), same_host);
  if (successor == record.members.end()) {
    // A host that has left by a planned stop still answers its running calls,
    // so that they are failed only after a delay.
    removed_hosts_.emplace_back(clock_.Now() + kRemovedHostCallTimeout,
                                member.host);
  } else if (successor->incarnation != member.incarnation) {
    EndWorkOfHost(member.host);
  }
}

void HostCore::HandleRejoin(const model::HostName& host) {
  const auto removed =
      std::find_if(removed_hosts_.begin(), removed_hosts_.end(),
                   [&](const auto& item) { return item.second == host; });
  // The process that left has ended. The work sent to it must be ended now: at
  // the scheduled time, work sent to the new process would be ended as well.
  if (removed != removed_hosts_.end()) EndWorkOfHost(host);
}

void HostCore::EndWorkOfHost(const model::HostName& host) {
  std::erase_if(removed_hosts_,
                [&](const auto& item) { return item.second == host; });
  state_.Unconfirmed().Clear(host);
  caller_requests_.OnMemberRemoved(host);
  orders_.OnMemberRemoved(host);
}

void HostCore::EndWorkOfRemovedHosts() {
  while (!removed_hosts_.empty() &&
         removed_hosts_.front().first <= clock_.Now()) {
    const model::HostName host = removed_hosts_.front().second;
    EndWorkOfHost(host);
  }
}

void HostCore::Adopt() {
  auto members = members_;
  // A host that was removed owns nothing, even if another process of the same
  // name is a member. It keeps the other members, to which it relays orders
  // that still arrive.
  if (!membership_.is_member()) {
    std::erase_if(members, [&](const model::Member& member) {
      return member.host == outbox_.self();
    });
  }
  adopted_epoch_ = membership_.epoch();
  state_.Adopt(rollout_.current().version, rollout_.environment(),
               adopted_epoch_, members);
  leaf_owner_.Adopt(state_.Ownership(), state_.Environment(), members);
  membership::Actions actions;
  auto owned = leaf_owner_.OwnedLeaves();
  for (std::uint32_t bucket = 0; bucket < orders::kBucketCount; ++bucket) {
    const model::Member* owner = BucketOwner(bucket, members);
    if (owner != nullptr && owner->host == outbox_.self())
      owned.push_back(BucketName(bucket));
  }
  membership_.SetOwnedLeaves(adopted_epoch_, owned, actions);
  reported_held_ = HeldLeavesAndBuckets();
  membership_.SetHeldLeaves(adopted_epoch_, reported_held_, actions);
  Execute(actions);
  const model::Zone* zone =
      model::FindZone(state_.Environment(), state_.OwnZone());
  const bool out =
      zone != nullptr && zone->state == model::ZoneState::kOutOfService;
  if (!out) zone_out_since_.reset();
  if (out && !zone_out_since_) zone_out_since_ = clock_.Now();
  takeovers_changed_ = true;
}

void HostCore::UpdateTakeovers() {
  for (const model::LeafName& leaf : leaf_owner_.OwnedLeaves()) {
    leaf_owner_.SetOpen(leaf, membership_.TakeoverComplete(leaf));
  }
  std::vector<std::uint32_t> exclusive;
  for (std::uint32_t bucket = 0; bucket < orders::kBucketCount; ++bucket) {
    if (membership_.TakeoverComplete(BucketName(bucket)))
      exclusive.push_back(bucket);
  }
  orders_.SetExclusiveBuckets(exclusive);
}

void HostCore::Execute(const membership::Actions& actions) {
  for (const membership::Action& action : actions) {
    if (const auto* send = std::get_if<membership::SendTo>(&action)) {
      outbox_.Send(send->host, send->message);
    } else if (const auto* read = std::get_if<membership::ReadHead>(&action)) {
      store_.ReadHead(read->id);
    } else if (const auto* watch =
                   std::get_if<membership::WatchHead>(&action)) {
      store_.WatchHead(watch->id, watch->revision, watch->wait);
    } else if (const auto* cas = std::get_if<membership::CasHead>(&action)) {
      store_.CasHead(cas->id, cas->revision, cas->record);
    } else if (std::holds_alternative<membership::PollHostList>(action)) {
      outbox_.Emit(PollHostList{});
    } else if (const auto* head =
                   std::get_if<membership::HeadChanged>(&action)) {
      OnHeadChanged(head->record);
    } else if (const auto* document =
                   std::get_if<membership::DocumentAnnounced>(&action)) {
      rollout::Actions rollout_actions;
      rollout_.OnHeadDocument(document->document, rollout_actions);
      Execute(rollout_actions);
    } else if (std::holds_alternative<membership::LeafTakenOver>(action)) {
      takeovers_changed_ = true;
    } else if (const auto* versions =
                   std::get_if<membership::PeerVersions>(&action)) {
      OnPeerVersions(*versions);
    } else if (const auto* event =
                   std::get_if<membership::RecordEvent>(&action)) {
      outbox_.Record(event->type, event->subject, event->detail);
    }
  }
}

void HostCore::Execute(const rollout::Actions& actions) {
  for (const rollout::Action& action : actions) {
    if (const auto* send = std::get_if<rollout::SendTo>(&action)) {
      outbox_.Send(send->host, send->message);
    } else if (const auto* read = std::get_if<rollout::ReadPart>(&action)) {
      store_.ReadPart(read->hash);
    } else if (std::holds_alternative<rollout::DocumentInForce>(action)) {
      Adopt();
    } else if (const auto* event = std::get_if<rollout::RecordEvent>(&action)) {
      outbox_.Record(event->type, event->subject, event->detail);
    }
  }
}

std::vector<model::LeafName> HostCore::HeldLeavesAndBuckets() const {
  auto held_leaves = leaf_owner_.HeldLeaves();
  const auto buckets = orders_.HeldBuckets();
  held_leaves.insert(held_leaves.end(), buckets.begin(), buckets.end());
  return held_leaves;
}

std::vector<model::HostName> HostCore::OtherMembers() const {
  std::vector<model::HostName> others;
  for (const model::Member& member : members_) {
    if (member.host != outbox_.self()) others.push_back(member.host);
  }
  return others;
}

}  // namespace berylreach::core
