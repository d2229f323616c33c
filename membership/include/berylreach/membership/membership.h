// Membership of this host: head record, serving lease, failure detection,
// takeover of leaves, and duties of the delegates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/membership/action.h"
#include "berylreach/membership/constants.h"
#include "berylreach/membership/failure_detector.h"
#include "berylreach/membership/head_client.h"
#include "berylreach/membership/head_edits.h"
#include "berylreach/membership/head_watch.h"
#include "berylreach/membership/quorum_history.h"
#include "berylreach/membership/release_sender.h"
#include "berylreach/membership/release_table.h"
#include "berylreach/membership/removal_objections.h"
#include "berylreach/membership/removed_host_fences.h"
#include "berylreach/membership/serving_lease.h"
#include "berylreach/membership/takeover_tracker.h"
#include "berylreach/membership/versions.h"
#include "berylreach/model/head_record.h"
#include "berylreach/model/head_update.h"
#include "berylreach/model/heartbeat.h"
#include "berylreach/model/heartbeat_ack.h"
#include "berylreach/model/member.h"
#include "berylreach/model/names.h"
#include "berylreach/model/peer_message.h"
#include "berylreach/model/release.h"
#include "berylreach/model/store_result.h"

namespace berylreach::membership {

/// State machine that joins and leaves the environment, keeps the serving lease
/// of this host, removes failed members, and tells when the takeover of a leaf
/// is complete (sections 3.2 and 3.3 of docs/design.md). It does no I/O: event
/// methods append to `out` the actions that the caller must execute in order.
/// Not thread-safe.
class Membership {
 public:
  /// `self.incarnation` must be random; it also seeds nonces and jitter.
  /// `clock` must outlive this object.
  Membership(const base::Clock& clock, model::Member self);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Starts to join the environment.
  void Start(Actions& out);

  /// Advances all timers; must be called at `NextWakeup()` or before.
  void Tick(Actions& out);

  /// Result of a ReadHead or WatchHead; `record` is set if `outcome` is kOk.
  void OnHeadRead(std::uint64_t id, model::StoreOutcome outcome,
                  const std::optional<model::HeadRecord>& record,
                  std::uint64_t revision, Actions& out);

  /// Result of a CasHead; `revision` is the new one if `outcome` is kOk.
  void OnHeadCas(std::uint64_t id, model::StoreOutcome outcome,
                 std::uint64_t revision, Actions& out);

  /// Processes Heartbeat, HeartbeatAck, HeadUpdate, Release and SilenceNotice;
  /// ignores other messages.
  void OnMessage(const model::HostName& from, std::uint64_t incarnation,
                 const model::PeerMessage& message, Actions& out);

  /// Starts to leave the membership for a planned stop. `has_left()` is true
  /// once this is done.
  void Leave(Actions& out);

  /// Sets the versions that heartbeats carry. The lease is extended only by
  /// proofs that name no newer document than `versions.document`.
  void SetVersions(const Versions& versions, Actions& out);

  /// Sets the leaves that this host owns at `epoch`. Must be called after each
  /// HeadChanged with a new epoch and when a new document changes ownership;
  /// ignored if `epoch` is not the current one.
  void SetOwnedLeaves(std::uint64_t epoch,
                      const std::vector<model::LeafName>& leaves, Actions& out);

  /// Sets the leaves that this host does not own at `epoch` but on which its
  /// work still runs. Must be called after each HeadChanged with a new epoch,
  /// after `SetOwnedLeaves`, and whenever such work ends; ignored if `epoch` is
  /// not the current one.
  void SetHeldLeaves(std::uint64_t epoch,
                     const std::vector<model::LeafName>& held_leaves,
                     Actions& out);

  /// Time at which Tick must be called next.
  base::TimePoint NextWakeup() const;

  /// End of the serving lease; `TimePoint::min()` if there is none.
  base::TimePoint LeaseExpiry() const { return lease_.expiry(); }

  /// Whether this host is a member with an unexpired serving lease, and so may
  /// accept new work.
  bool HoldsLease() const;

  /// Epoch that this host has adopted; 0 before the first.
  std::uint64_t epoch() const { return epoch_; }

  const std::vector<model::Member>& members() const {
    return head_.record().members;
  }

  /// Newest known head record.
  const model::HeadRecord& record() const { return head_.record(); }

  /// Whether this host receives heartbeats from at least half of the members
  /// that it witnesses. If not, this host is probably partitioned from them and
  /// can reach few leaves.
  bool HearsFromAtLeastHalf() const {
    return detector_.HearsFromAtLeastHalf(clock_.Now());
  }

  /// Whether this incarnation is a member at `epoch()`.
  bool is_member() const { return is_member_; }

  /// Whether no other host can still work on the owned `leaf`. Work on it also
  /// requires `HoldsLease()`.
  bool TakeoverComplete(const model::LeafName& leaf) const;

  /// Members that this host witnesses and from which it has received no
  /// heartbeat for `kSilentMemberThreshold`.
  std::vector<model::HostName> SilentMembers() const {
    return detector_.SilentFor(kSilentMemberThreshold, now_);
  }

  /// 0 if this host is the first delegate, 1 if it is the second, else nothing.
  std::optional<std::size_t> delegate_rank() const { return delegate_rank_; }

  /// Whether this host is no longer a member after `Leave`.
  bool has_left() const { return has_left_; }

 private:
  /// Where a head record came from. A new epoch is broadcast to the other
  /// members only if it came from the store.
  enum class HeadSource : std::uint8_t { kStore, kPeer };

  /// Must be called at the start of each event.
  void BeginEvent();
  /// Ends an event: executes the timed steps that are due.
  void Finish(Actions& out);
  void Adopt(HeadSource source, Actions& out);
  void StartEpoch(HeadSource source, Actions& out);
  void OnBecameMember(Actions& out);
  void OnRemoved(Actions& out);
  void BroadcastHead(Actions& out) const;
  void SendHead(const model::HostName& host, Actions& out) const;
  /// Sends `host` a heartbeat, which it answers with its newer head record.
  void RequestHead(const model::HostName& host, Actions& out);
  /// Sends or requests the head record if the peer is at another epoch.
  void ReconcileEpoch(const model::HostName& from, std::uint64_t epoch,
                      Actions& out);
  /// Adopts the newest head record, and extends the lease if a write of this
  /// host was found applied.
  void ProcessHead(HeadSource source, Actions& out);

  void OnHeartbeat(const model::HostName& from, std::uint64_t incarnation,
                   const model::Heartbeat& heartbeat, Actions& out);
  void OnHeartbeatAck(const model::HostName& from, std::uint64_t incarnation,
                      const model::HeartbeatAck& ack, Actions& out);
  void OnHeadUpdate(const model::HeadUpdate& update, Actions& out);
  void OnRelease(const model::HostName& from, std::uint64_t incarnation,
                 const model::Release& release, Actions& out);

  void OnSilenceNotice(const model::HostName& from,
                       const model::SilenceNotice& notice, Actions& out);
  void SendDueHeartbeats(Actions& out);
  void SendHeartbeat(const model::HostName& host, Actions& out);
  void StartStoreCall(Actions& out);
  /// Each of the following four returns true if no other store call may start
  /// in this event.
  bool TryLeave(Actions& out);
  bool TryJoin(Actions& out);
  bool TryRemoveSilent(Actions& out);
  /// Drops fenced removed hosts from the record if this host is the first
  /// delegate.
  bool TryDropFenced(Actions& out);
  FencedPredicate MakeFencedPredicate() const;
  void RenewThroughStore(Actions& out);
  /// Updates the candidates for removal, and asks the other witnesses of each
  /// candidate whether they still receive its heartbeats.
  void UpdateRemovalCandidates(Actions& out);
  void RunDelegateDuties(Actions& out);
  void AdvanceTakeovers(Actions& out);
  void RecordLeaseChange(Actions& out);
  void Record(std::string type, std::string subject, std::string detail,
              Actions& out) const;

  const base::Clock& clock_;
  model::Member self_;
  /// Time of the event that is being processed, or of the last one.
  base::TimePoint now_;
  base::TimePoint last_event_;
  Versions versions_;

  HeadClient head_;
  HeadWatch watch_;
  ServingLease lease_;
  FailureDetector detector_;
  RemovalObjections removal_objections_;
  QuorumHistory quorums_;
  ReleaseTable releases_;
  RemovedHostFences fences_;
  TakeoverTracker takeovers_;
  ReleaseSender release_sender_;

  bool started_ = false;
  bool is_member_ = false;
  bool leaving_ = false;
  bool has_left_ = false;
  /// Whether the lease was held at the last RecordLeaseChange.
  bool held_lease_ = false;
  /// TryDropFenced has sent a write, and no write was applied since.
  bool cleanup_write_open_ = false;
  std::uint64_t epoch_ = 0;
  /// Version of the newest document in a DocumentAnnounced.
  std::uint64_t announced_document_ = 0;
  std::uint64_t heartbeat_sequence_;
  std::optional<std::size_t> delegate_rank_;
  base::TimePoint next_heartbeat_;
  base::TimePoint next_store_renewal_;
  base::TimePoint next_host_list_poll_;
  base::TimePoint next_head_request_;
  /// When this host last became a member.
  base::TimePoint member_since_;
  base::TimePoint rejoin_at_;
  base::Duration rejoin_delay_;
};

}  // namespace berylreach::membership
