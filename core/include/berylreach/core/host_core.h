// All decisions of one host as one state machine.
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

/// Takes events and returns actions; does no I/O. Every event method returns
/// the actions that must be carried out in order. Not thread-safe: one thread
/// drives it.
class HostCore {
 public:
  /// `clock` must outlive this object.
  HostCore(const base::Clock& clock, CoreOptions options);

  /// Starts to join the environment.
  Actions Start();
  /// Advances all timers; call at `NextWakeup()` or before.
  Actions Tick();

  Actions OnCallerRequest(const model::CallerRequest& request);
  Actions OnCallerDisconnected(const model::CallId& id);
  Actions OnEnvelope(const model::Envelope& envelope);
  /// The connection to `host` ended and could not be opened again at once.
  Actions OnPeerDisconnected(const model::HostName& host);
  Actions OnUpstreamResult(const model::UpstreamResult& result);
  Actions OnLeafStatus(const model::LeafStatus& status);
  Actions OnStoreResult(const model::StoreResult& result);
  /// Result of a PollHostList; nothing if the read failed.
  Actions OnHostList(const std::optional<model::HostList>& list);

  /// Begins a planned stop: new caller requests are refused, running ones
  /// finish, then the host leaves the membership.
  Actions Stop();
  /// The planned stop is complete.
  bool stopped() const;

  base::TimePoint NextWakeup() const;

  /// Whether the balancer may send requests here.
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

  /// Id for the next caller request.
  model::CallId NextRequestId() { return state_.NextCallId(); }

 private:
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
  void OnHead(const model::HeadRecord& record);
  void HandleDeparture(const model::Member& member,
                       const model::HeadRecord& record);
  /// Ends the work of the process of `host` that left before.
  void HandleReturn(const model::HostName& host);
  void EndWorkOfHost(const model::HostName& host);
  void EndWorkOfDeparted();
  void AdoptHostList(const model::HostList& list, bool publish);
  void Adopt();
  void UpdateTakeovers();
  void UpdateLease();
  void UpdateLeavesKnown();
  void UpdateVersions();
  void AdvanceStop();
  void Execute(const membership::Actions& actions);
  void Execute(const rollout::Actions& actions);
  /// Leaves and order buckets with running work that other hosts own.
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
  /// Hosts that left or failed, and when their last leaf call has ended.
  std::vector<std::pair<base::TimePoint, model::HostName>> departing_;
  std::uint64_t adopted_epoch_ = 0;
  std::optional<base::TimePoint> zone_out_since_;
  bool takeovers_changed_ = false;
  /// Every service had a usable snapshot at least once.
  bool leaves_known_ = false;
  /// When a first document came into force.
  std::optional<base::TimePoint> serving_since_;
  std::optional<base::TimePoint> stopping_since_;
  bool leaving_ = false;
  /// When the membership record was left.
  std::optional<base::TimePoint> left_at_;
  std::vector<model::LeafName> reported_held_;
  /// Versions that membership was told last.
  membership::Versions reported_versions_;
};

}  // namespace berylreach::core
