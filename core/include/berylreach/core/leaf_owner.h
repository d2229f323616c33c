// Calls to the leaves that this host owns, and publication of their states.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/core/outbox.h"
#include "berylreach/core/owned_leaf.h"
#include "berylreach/core/silence_thresholds.h"
#include "berylreach/limits/action.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_cancel.h"
#include "berylreach/model/leaf_states.h"
#include "berylreach/model/leaf_status.h"
#include "berylreach/model/upstream_result.h"
#include "berylreach/quarantine/quarantine.h"
#include "berylreach/routing/ownership_table.h"

namespace berylreach::core {

/// Passes calls through the gates of owned leaves, publishes the states of the
/// leaves, and reports their crashes to the quarantine. Not thread-safe.
class LeafOwner {
 public:
  LeafOwner(const base::Clock& clock, quarantine::Quarantine& quarantine,
            Outbox& outbox);

  /// Adopts the leaves that this host owns according to `table`. Calls that run
  /// on leaves that it no longer owns continue.
  void Adopt(const routing::OwnershipTable& table,
             const model::Environment& environment,
             const std::vector<model::Member>& members);

  /// Accepts or refuses a call from `from`, which gets a LeafReply. Duplicates
  /// of accepted calls are ignored.
  void OnCall(const model::HostName& from, const model::LeafCall& call);
  void OnCancel(const model::LeafCancel& cancel);
  void OnUpstreamResult(const model::UpstreamResult& result);
  void OnLeafStatus(const model::LeafStatus& status);

  /// Refuses queued canaries whose fingerprint has become suspect or blocked.
  void RefuseSuspects();

  /// Sets the leaves that the host list shows as leaving.
  void SetLeaving(const std::set<model::LeafName>& leaving);

  /// Sets whether calls on `leaf` may start, which they may once its takeover
  /// is complete.
  void SetOpen(const model::LeafName& leaf, bool open);
  void SetLeaseExpiry(base::TimePoint expiry);

  /// Publishes to all members the states that have changed since the last call.
  void PublishChanges();

  /// Sends all published states to `host`, which lacks some of them.
  void PublishAllTo(const model::HostName& host);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const;

  /// Owned leaves, sorted by name.
  std::vector<model::LeafName> OwnedLeaves() const;
  /// Leaves that are no longer owned but on which calls still run or wait,
  /// sorted by name.
  std::vector<model::LeafName> HeldLeaves() const;
  /// Whether a call runs or waits on any leaf.
  bool HasWork() const;
  /// Digest of the states that this host has published.
  std::uint64_t StatesDigest() const { return states_digest_; }

  const std::unordered_map<model::LeafName, OwnedLeaf>& leaves() const {
    return leaves_;
  }

 private:
  /// A call that was passed to a gate and has no reply yet.
  struct AcceptedCall {
    model::HostName from;
    model::LeafCall call;
    /// When the call was passed to the upstream client; nothing while it waits
    /// in the queue.
    std::optional<base::TimePoint> started_at;
  };

  bool IsArbiter(const model::HostName& host, std::uint64_t fingerprint) const;
  /// Whether `call` is an order call that was accepted before. Records the id
  /// of an order call that was not.
  bool IsDuplicateOrder(const model::LeafCall& call);
  void EraseExpiredOrderIds();
  OwnedLeaf* FindOwned(const model::LeafName& leaf);
  void UpdateLeaf(OwnedLeaf& owned_leaf, const model::Leaf& leaf,
                  bool zone_out_of_service);
  void DropFinished();
  void ApplyDraining(OwnedLeaf& owned_leaf);
  void UpdateIncarnation(OwnedLeaf& owned_leaf, std::uint64_t incarnation);
  /// Marks the fingerprint of a call that has succeeded as proven if the call
  /// was a canary.
  void MarkProven(const model::CallId& id);
  void ReportCrash(const model::LeafName& leaf);
  void Execute(const OwnedLeaf& owned_leaf, const limits::Actions& actions);
  /// Passes the latency of a call that was started to the silence thresholds.
  void RecordLatency(const model::UpstreamResult& result);
  void Start(const OwnedLeaf& owned_leaf, const limits::StartCall& start);
  void SendReply(const model::LeafReply& reply);
  void Refuse(const model::HostName& from, const model::LeafCall& call,
              model::LeafOutcome outcome);
  /// Whether the state published last is still correct.
  bool IsPublished(const OwnedLeaf& owned_leaf) const;
  /// Treats all states as not yet published.
  void ResetPublished();
  std::uint64_t ComputeStatesDigest() const;
  std::uint64_t NextSequence();

  const base::Clock& clock_;
  quarantine::Quarantine& quarantine_;
  Outbox& outbox_;
  SilenceThresholds silence_thresholds_;
  /// Whether a state may have changed since the last PublishChanges.
  bool states_dirty_ = false;
  std::uint64_t states_digest_ = 0;
  /// Value of Quarantine::revision() at the last RefuseSuspects.
  std::uint64_t quarantine_revision_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::vector<model::Member> members_;
  /// Leaves that the host list shows as leaving.
  std::set<model::LeafName> leaving_;
  base::TimePoint lease_expiry_ = base::TimePoint::min();
  std::unordered_map<model::LeafName, OwnedLeaf> leaves_;
  std::unordered_map<model::CallId, AcceptedCall> calls_;
  /// Order calls accepted recently, oldest first. A duplicated message must not
  /// run an order again.
  std::deque<std::pair<base::TimePoint, model::CallId>> recent_orders_;
  std::unordered_set<model::CallId> recent_order_ids_;
};

}  // namespace berylreach::core
