// The duties of a host towards the leaves that it owns.
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

/// Runs the gates of owned leaves, publishes their states, and reports leaf
/// deaths to the quarantine. Not thread-safe.
class LeafOwner {
 public:
  LeafOwner(const base::Clock& clock, quarantine::Quarantine& quarantine,
            Outbox& outbox);

  /// Adopts the leaves that `table` gives to this host. Gates of leaves that
  /// moved away finish their running calls.
  void Adopt(const routing::OwnershipTable& table,
             const model::Environment& environment,
             const std::vector<model::Member>& members);

  /// A call from `from`; answered with a LeafReply to `from`.
  void OnCall(const model::HostName& from, const model::LeafCall& call);
  void OnCancel(const model::LeafCancel& cancel);
  void OnUpstreamResult(const model::UpstreamResult& result);
  void OnLeafStatus(const model::LeafStatus& status);

  /// Refuses queued canaries whose fingerprint has become suspect or blocked.
  void RefuseSuspects();

  /// Leaves that the host list shows as leaving.
  void SetLeaving(const std::set<model::LeafName>& leaving);

  /// Allows work on `leaf` once its takeover is complete.
  void SetOpen(const model::LeafName& leaf, bool open);
  void SetLeaseExpiry(base::TimePoint expiry);

  /// Publishes the states that have changed since the last call.
  void PublishChanges();

  /// Sends all states to `host`, which has lost or never had them.
  void PublishAllTo(const model::HostName& host);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const;

  /// Owned leaves, in the order of their names.
  std::vector<model::LeafName> OwnedLeaves() const;
  /// Leaves that are no longer owned but still have work.
  std::vector<model::LeafName> HeldLeaves() const;
  /// Whether a call runs or waits on any leaf.
  bool HasWork() const;
  /// Digest of the published states.
  std::uint64_t StatesDigest() const { return states_digest_; }

  const std::unordered_map<model::LeafName, OwnedLeaf>& leaves() const {
    return leaves_;
  }

 private:
  /// A call that was accepted by a gate and has no reply yet.
  struct AcceptedCall {
    model::HostName from;
    model::LeafCall call;
    /// When the call was handed to the upstream client; nothing while it waits.
    std::optional<base::TimePoint> started_at;
  };

  bool IsArbiter(const model::HostName& host, std::uint64_t fingerprint) const;
  /// Whether the order call was accepted before; remembers it otherwise.
  bool IsDuplicateOrder(const model::LeafCall& call);
  void ForgetOldOrders();
  OwnedLeaf* FindOwned(const model::LeafName& leaf);
  void Update(OwnedLeaf& entry, const model::Leaf& leaf, bool zone_out);
  void DropFinished();
  void ApplyDraining(OwnedLeaf& entry);
  void UpdateIncarnation(OwnedLeaf& entry, std::uint64_t incarnation);
  /// A call has succeeded; proves its fingerprint if it was a canary.
  void MarkProven(const model::CallId& id);
  void ReportCrash(const model::LeafName& leaf);
  void Execute(const OwnedLeaf& entry, const limits::Actions& actions);
  /// Measures the latency of a call that was started.
  void RecordLatency(const model::UpstreamResult& result);
  void Start(const OwnedLeaf& entry, const limits::StartCall& start);
  void SendReply(const model::LeafReply& reply);
  void Refuse(const model::HostName& from, const model::LeafCall& call,
              model::LeafOutcome outcome);
  /// Whether the state published last still holds.
  bool IsPublished(const OwnedLeaf& entry) const;
  void ForgetPublished();
  std::uint64_t ComputeStatesDigest() const;
  std::uint64_t NextSequence();

  const base::Clock& clock_;
  quarantine::Quarantine& quarantine_;
  Outbox& outbox_;
  SilenceThresholds silence_thresholds_;
  /// Something that a state depends on may have changed since PublishChanges.
  bool states_dirty_ = false;
  std::uint64_t states_digest_ = 0;
  /// Quarantine::revision() at the last RefuseSuspects.
  std::uint64_t quarantine_revision_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::vector<model::Member> members_;
  std::set<model::LeafName> leaving_;
  base::TimePoint lease_expiry_ = base::TimePoint::min();
  std::unordered_map<model::LeafName, OwnedLeaf> leaves_;
  std::unordered_map<model::CallId, AcceptedCall> calls_;
  /// Order calls accepted recently, oldest first, so that a duplicated message
  /// cannot run one again.
  std::deque<std::pair<base::TimePoint, model::CallId>> recent_orders_;
  std::unordered_set<model::CallId> recent_order_ids_;
};

}  // namespace berylreach::core
