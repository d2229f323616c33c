// The decisions of one host as a single state machine.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/core/action.h"
#include "berylreach/core/caller_request_handler.h"
#include "berylreach/core/core_options.h"
#include "berylreach/core/document_assembler.h"
#include "berylreach/core/leaf_owner.h"
#include "berylreach/core/order_runner.h"
#include "berylreach/core/outbox.h"
#include "berylreach/core/shared_state.h"
#include "berylreach/core/store_calls.h"
#include "berylreach/core/suspect_arbiter.h"
#include "berylreach/membership/membership.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/envelope.h"
#include "berylreach/model/host_list.h"
#include "berylreach/model/leaf_status.h"
#include "berylreach/model/store_result.h"
#include "berylreach/model/upstream_result.h"
#include "berylreach/rollout/rollout.h"

namespace berylreach::core {

/// Processes events and returns the actions to execute; does no I/O. The
/// actions that an event method returns must be executed in order. Not
/// thread-safe: one thread must make all calls.
class HostCore {
 public:
  /// `clock` must outlive this object.
  HostCore(const base::Clock& clock, CoreOptions options);

  /// Starts to join the environment.
  Actions Start();
  /// Advances all timers; must be called at `NextWakeup()` or before.
  Actions Tick();

  Actions OnCallerRequest(const model::CallerRequest& request);
  Actions OnCallerDisconnected(const model::CallId& id);
  Actions OnEnvelope(const model::Envelope& envelope);
  /// The connection to `host` ended, and an immediate attempt to reopen it
  /// failed.
  Actions OnPeerDisconnected(const model::HostName& host);
  Actions OnUpstreamResult(const model::UpstreamResult& result);
  Actions OnLeafStatus(const model::LeafStatus& status);
  Actions OnStoreResult(const model::StoreResult& result);
  /// Result of a PollHostList; nothing if the read failed.
  Actions OnHostList(const std::optional<model::HostList>& list);

  /// Begins a planned stop: new caller requests are refused, running ones
  /// finish, then the host leaves the membership.
  Actions Stop();
  /// Whether the planned stop is complete.
  bool stopped() const;

  /// Time at which Tick must be called next.
  base::TimePoint NextWakeup() const;

  /// Whether the load balancer should send requests to this host.
  bool ready() const;
  bool HoldsLease() const { return membership_.HoldsLease(); }
  std::uint64_t epoch() const { return membership_.epoch(); }
  const model::DocumentRef& document() const { return rollout_.current(); }
  const model::Member& self() const { return state_.self(); }
  const CallerRequestHandler& caller_requests() const {
    return caller_requests_;
  }
  const LeafOwner& leaf_owner() const { return leaf_owner_; }
  const OrderRunner& orders() const { return orders_; }
  const SharedState& state() const { return state_; }

  /// Returns a new id for a caller request.
  model::CallId NextRequestId() { return state_.NextCallId(); }

 private:
  /// Ends an event: processes messages of this host to itself, updates the
  /// components, and returns the collected actions.
  Actions Finish();
  bool ServesCallers() const;
  void Deliver(const model::HostName& from, std::uint64_t incarnation,
               const model::PeerMessage& message);
  void OnHeadRead(std::uint64_t id, const model::StoreResult& result,
                  membership::Actions& out);
  void OnLeafReply(const model::LeafReply& reply);
  void OnLeafCall(const model::HostName& from, const model::LeafCall& call);
  void OnLeafStates(const model::HostName& from,
                    const model::LeafStates& states);
  void OnPeerVersions(const membership::PeerVersions& versions);
  void OnHeadChanged(const model::HeadRecord& record);
  /// Schedules or starts EndWorkOfHost if `member` is not in `record`.
  void HandleRemoval(const model::Member& member,
                     const model::HeadRecord& record);
  /// Ends the work sent to an earlier process of `host`, which has joined.
  void HandleRejoin(const model::HostName& host);
  /// Fails the calls and orders sent to `host`, which will not reply to them.
  void EndWorkOfHost(const model::HostName& host);
  /// Calls EndWorkOfHost for removed hosts whose calls must have ended by now.
  void EndWorkOfRemovedHosts();
  /// Adopts `list` if it is newer; with `publish` also sends it to the members.
  void AdoptHostList(const model::HostList& list, bool publish);
  /// Puts the members and the document in force and recomputes ownership.
  void Adopt();
  void UpdateTakeovers();
  void UpdateLease();
  void UpdateLeavesKnown();
  /// Tells membership the versions and held leaves of this host if they have
  /// changed.
  void UpdateVersions();
  void AdvanceStop();
  void Execute(const membership::Actions& actions);
  void Execute(const rollout::Actions& actions);
  /// Leaves and order buckets on which work of this host still runs although
  /// other hosts own them.
  std::vector<model::LeafName> HeldLeavesAndBuckets() const;
  std::vector<model::HostName> OtherMembers() const;

  const base::Clock& clock_;
  Outbox outbox_;
  SharedState state_;
  StoreCalls store_;
  membership::Membership membership_;
  rollout::Rollout<DocumentAssembler> rollout_;
  LeafOwner leaf_owner_;
  SuspectArbiter arbiter_;
  OrderRunner orders_;
  CallerRequestHandler caller_requests_;
  model::HostList host_list_;
  std::vector<model::Member> members_;
  /// Hosts that left or were removed, with the time by which their last leaf
  /// call must have ended; earliest first.
  std::vector<std::pair<base::TimePoint, model::HostName>> removed_hosts_;
  std::uint64_t adopted_epoch_ = 0;
  /// Since when the zone of this host is out of service.
  std::optional<base::TimePoint> zone_out_since_;
  /// UpdateTakeovers must be called at the end of the event.
  bool takeovers_changed_ = false;
  /// Whether every service had a usable snapshot at the same time, or
  /// `kLeafDiscoveryTimeout` has passed.
  bool leaves_known_ = false;
  /// When the first document came into force.
  std::optional<base::TimePoint> first_document_at_;
  /// When the planned stop began.
  std::optional<base::TimePoint> stopping_since_;
  /// Whether Membership::Leave has been called.
  bool leaving_ = false;
  /// When this host ceased to be a member by its planned stop.
  std::optional<base::TimePoint> left_at_;
  /// Held leaves and buckets last passed to membership.
  std::vector<model::LeafName> reported_held_;
  /// Versions last passed to membership.
  membership::Versions reported_versions_;
};

}  // namespace berylreach::core
