// Decides at the owner of a leaf which calls run on it, wait or are refused.
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

/// Most calls queued for one leaf.
inline constexpr std::size_t kMaxQueuedCalls = 256;

/// Time after its deadline during which a started call may still report its
/// result, since the result passes through another thread.
inline constexpr base::Duration kResultGrace = std::chrono::milliseconds(50);

/// How long a gate remembers that it has sent a canary on to another leaf; no
/// leaf call lasts longer than the serving lease (1.5 s) and its grace.
inline constexpr base::Duration kCanaryMemory = std::chrono::seconds(2);

/// Gate of one leaf. A new gate is closed, cold, and without a lease: calls
/// wait until SetOpen(true) and SetLeaseExpiry. Each accepted call gets exactly
/// one Reply. Not thread-safe.
class LeafGate {
 public:
  LeafGate(const base::Clock& clock, model::LeafName leaf, std::uint32_t slots);

  /// A call for this leaf arrived from a host.
  void OnCall(const model::LeafCall& call, Actions& out);

  /// The sender withdrew a call. Unknown ids are ignored.
  void OnCancel(const model::CallId& id, Actions& out);
  /// The call was sent to another leaf as well: dropped if queued, left alone
  /// if running.
  void OnMoved(const model::CallId& id, Actions& out);

  /// What became of a StartCall.
  void OnResult(const model::UpstreamResult& result, Actions& out);

  /// Refuses the queued canaries whose fingerprint `outcome_of` has an outcome
  /// for.
  void RefuseCanaries(const std::function<std::optional<model::LeafOutcome>(
                          std::uint64_t fingerprint)>& outcome_of,
                      Actions& out);

  /// Evidence of a cold start from elsewhere, such as a status probe.
  void OnColdEvidence(Actions& out);

  /// Closed while a takeover is pending: calls wait in the queue. Opening a
  /// closed gate starts cold.
  void SetOpen(bool open, Actions& out);

  /// This host no longer owns the leaf: queued calls are answered `not_owner`,
  /// running ones complete, and the gate closes.
  void OnOwnershipLost(Actions& out);

  /// A draining leaf starts nothing and refuses queued calls at once. Also set
  /// by the gate itself when the leaf answers `draining`.
  void SetDraining(bool draining, Actions& out);

  /// Like draining. The return of the zone starts the leaf cold.
  void SetZoneOut(bool out_of_service, Actions& out);

  /// Expiry of this host's serving lease; nothing starts at or after it.
  void SetLeaseExpiry(base::TimePoint expiry, Actions& out);

  /// The document gives the leaf another number of slots.
  void SetSlots(std::uint32_t slots, Actions& out);

  /// Expires queued calls and frees slots of calls past their deadline.
  void Tick(Actions& out);

  /// When Tick is next needed.
  std::optional<base::TimePoint> NextWakeup() const;

  /// Fingerprints that may be running on the leaf, unproven calls included,
  /// without duplicates: the suspects if the leaf has died.
  std::vector<std::uint64_t> RunningFingerprints() const;

  /// Time until a new call of `priority` would start, for refusals elsewhere.
  base::Duration ExpectedWait(std::uint32_t priority) const;

  std::uint32_t limit() const { return limit_.value(); }
  bool cold() const { return limit_.cold(); }
  /// Calls that may be running on the leaf, unproven ones included.
  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queue_.size(); }
  bool draining() const { return draining_; }
  const GateCounters& counters() const { return counters_; }

 private:
  using RunningMap = std::unordered_map<model::CallId, RunningCall>;

  bool TakesCalls() const { return !draining_ && !zone_out_; }
  bool Known(const model::CallId& id) const;
  bool CanStart(const model::LeafCall& next) const;
  /// Whether `call` is a canary whose fingerprint runs here as a canary.
  bool AwaitsCanary(const model::LeafCall& call) const;
  /// Whether `call` must look for another leaf. A canary is remembered then, so
  /// that further calls of its fingerprint follow it.
  bool SendsOn(const model::LeafCall& call);
  void StartCalls(Actions& out);
  void Start(QueuedCall next, Actions& out);
  void ExpireQueued(Actions& out);
  void ExpireRunning(Actions& out);
  /// Refuses queued calls whose expected wait exceeds their remaining time.
  void ShedQueued(Actions& out);
  void RefuseQueued(model::LeafOutcome outcome, Actions& out);
  void RefuseOverloaded(const QueuedCall& call, base::Duration wait,
                        Actions& out);
  void RefuseOutOfService(const model::LeafCall& call, Actions& out);
  std::vector<base::TimePoint> SlotTimes() const;
  void NoteIncarnation(const model::UpstreamResult& result);
  void ApplyToLimit(const model::UpstreamResult& result,
                    const RunningCall& call);
  void Finish(RunningMap::iterator found, const model::UpstreamResult& result,
              Actions& out);
  void ResetLimit();
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
  /// Fingerprints of canaries that were sent on lately, oldest first.
  std::deque<std::pair<base::TimePoint, std::uint64_t>> sent_on_;
  std::uint64_t incarnation_ = 0;
  bool open_ = false;
  bool draining_ = false;
  bool zone_out_ = false;
};

}  // namespace berylreach::limits
