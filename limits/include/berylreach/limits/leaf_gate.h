// Decides, at the owner of a leaf, which calls run on the leaf, wait, or are
// refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/limits/action.h"
#include "berylreach/limits/call_queue.h"
#include "berylreach/limits/concurrency_limit.h"
#include "berylreach/limits/gate_counters.h"
#include "berylreach/limits/running_call.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/names.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::limits {

/// Maximum number of calls queued for one leaf.
inline constexpr std::size_t kMaxQueuedCalls = 256;

/// Time after the deadline of a started call during which its result is still
/// accepted, since results pass through another thread.
inline constexpr base::Duration kResultGrace = std::chrono::milliseconds(50);

/// How long a gate remembers that it has redirected a canary to another leaf.
/// No leaf call lasts longer than the serving lease (1.5 s) plus kResultGrace.
inline constexpr base::Duration kRedirectRetention = std::chrono::seconds(2);

/// Gate of one leaf. A new gate is closed, cold and without a lease: calls wait
/// until SetOpen(true) and SetLeaseExpiry. Each accepted call gets exactly one
/// Reply. Methods append the resulting actions to `out`. Not thread-safe.
class LeafGate {
 public:
  LeafGate(const base::Clock& clock, model::LeafName leaf, std::uint32_t slots);

  /// A call for this leaf arrived from a host. A call whose id is already
  /// queued or running is ignored.
  void OnCall(const model::LeafCall& call, Actions& out);

  /// The sender withdrew a call. Unknown ids are ignored.
  void OnCancel(const model::CallId& id, Actions& out);
  /// Cancels a call that the sender has also sent to another leaf, if it is
  /// still queued. A running call continues.
  void CancelIfQueued(const model::CallId& id, Actions& out);

  /// Handles the outcome of a call that was started by StartCall.
  void OnResult(const model::UpstreamResult& result, Actions& out);

  /// Refuses each queued canary for whose fingerprint `outcome_of` returns an
  /// outcome, with that outcome.
  void RefuseCanaries(const std::function<std::optional<model::LeafOutcome>(
                          std::uint64_t fingerprint)>& outcome_of,
                      Actions& out);

  /// There is evidence of a cold start from another source, such as a status
  /// probe.
  void OnColdEvidence(Actions& out);

  /// While the gate is closed, as during a pending takeover, calls wait in the
  /// queue. Opening a closed gate makes the leaf cold.
  void SetOpen(bool open, Actions& out);

  /// This host no longer owns the leaf: queued calls are answered kNotOwner,
  /// running ones complete, and the gate closes.
  void OnOwnershipLost(Actions& out);

  /// A draining leaf starts no calls, and its queued calls are refused at once.
  /// The gate also sets this itself when the leaf answers kDraining.
  void SetDraining(bool draining, Actions& out);

  /// A zone that is out of service has the same effect as a draining leaf. When
  /// the zone returns, the leaf is cold.
  void SetZoneOutOfService(bool out_of_service, Actions& out);

  /// Sets the time at which this host's serving lease expires. No call starts
  /// at or after that time.
  void SetLeaseExpiry(base::TimePoint expiry, Actions& out);

  /// Sets the number of slots that the document gives the leaf.
  void SetSlots(std::uint32_t slots, Actions& out);

  /// Expires queued calls and frees the slots of calls past their deadline.
  void Tick(Actions& out);

  /// Returns when Tick must be called next; nothing while no call waits or
  /// runs.
  std::optional<base::TimePoint> NextWakeup() const;

  /// Returns the fingerprints of the calls that may be running on the leaf,
  /// unanswered calls included, without duplicates. If the leaf crashes, these
  /// are the suspects.
  std::vector<std::uint64_t> RunningFingerprints() const;

  /// Returns the expected time until a new call of `priority` would start.
  base::Duration ExpectedWait(std::uint32_t priority) const;

  std::uint32_t limit() const { return limit_.value(); }
  bool cold() const { return limit_.cold(); }
  /// Calls that may be running on the leaf, unanswered ones included.
  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queue_.size(); }
  bool draining() const { return draining_; }
  const GateCounters& counters() const { return counters_; }

 private:
  using RunningMap = std::unordered_map<model::CallId, RunningCall>;

  bool AcceptsCalls() const { return !draining_ && !zone_out_of_service_; }
  bool IsKnown(const model::CallId& id) const;
  bool CanStart(const model::LeafCall& next) const;
  /// Whether `call` is a canary and another canary of its fingerprint is
  /// running here.
  bool MustAwaitCanary(const model::LeafCall& call) const;
  /// Whether `call`, which is marked `no_wait`, must go to another leaf. If it
  /// is a canary, its fingerprint is then remembered, so that later copies are
  /// redirected too.
  bool MustRedirect(const model::LeafCall& call);
  void StartCalls(Actions& out);
  void Start(QueuedCall next, Actions& out);
  void ExpireQueued(Actions& out);
  void ExpireRunning(Actions& out);
  /// Refuses queued calls that are not expected to complete before their
  /// deadline, and those beyond kMaxQueuedCalls.
  void ShedQueued(Actions& out);
  /// Refuses all queued calls.
  void RefuseQueued(model::LeafOutcome outcome, Actions& out);
  void RefuseOverloaded(const QueuedCall& call, base::Duration wait,
                        Actions& out);
  void RefuseOutOfService(const model::LeafCall& call, Actions& out);
  /// Returns, for each slot within the limit, when it is expected to be free.
  std::vector<base::TimePoint> SlotFreeTimes() const;
  /// Resets the limit if `result` comes from another incarnation of the leaf
  /// than the last one that reported an incarnation.
  void CheckIncarnation(const model::UpstreamResult& result);
  void ApplyToLimit(const model::UpstreamResult& result,
                    const RunningCall& call);
  void FinishCall(RunningMap::iterator found,
                  const model::UpstreamResult& result, Actions& out);
  void ResetLimit();
  /// Expires, starts and sheds calls. Called after each change of the gate.
  void Update(Actions& out);
  void Answer(const model::CallId& id, model::LeafOutcome outcome,
              base::Duration retry_after, Actions& out);

  const base::Clock& clock_;
  model::LeafName leaf_;
  ConcurrencyLimit limit_;
  CallQueue queue_;
  RunningMap running_;
  GateCounters counters_;
  base::TimePoint lease_expiry_ = base::TimePoint::min();
  /// Fingerprints of recently redirected canaries with the time of the
  /// redirection, oldest first.
  std::deque<std::pair<base::TimePoint, std::uint64_t>> redirected_canaries_;
  std::uint64_t incarnation_ = 0;
  bool open_ = false;
  bool draining_ = false;
  bool zone_out_of_service_ = false;
};

}  // namespace berylreach::limits
