// State machine of the orders of one bucket: claims, runs and outcomes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/order_forward.h"
#include "berylreach/model/store_result.h"
#include "berylreach/orders/action.h"
#include "coordinator_state.h"
#include "journal_view.h"
#include "order_run.h"
#include "pending_changes.h"
#include "store_access.h"

namespace berylreach::orders {

/// Claims, sends and records the orders of one bucket in its journal. The
/// events are those of OrderCoordinator.
class BucketCoordinator {
 public:
  BucketCoordinator(CoordinatorState& state, std::uint32_t bucket);

  void OnForward(const model::OrderForward& forward, Actions& out);
  void OnRead(std::uint64_t id, model::StoreOutcome outcome,
              model::OrderJournal journal, std::uint64_t revision,
              Actions& out);
  void OnCas(std::uint64_t id, model::StoreOutcome outcome,
             std::uint64_t revision, Actions& out);
  void OnOutcome(const OrderKey& key, model::LeafOutcome outcome,
                 std::string result, std::uint64_t version,
                 std::chrono::milliseconds retry_after, Actions& out);
  void OnLeaseLost(Actions& out);
  void SetExclusive(bool exclusive, Actions& out);
  void Tick(Actions& out);
  std::optional<base::TimePoint> NextWakeup() const;

  std::size_t open_orders() const;
  std::size_t unwritten_outcomes() const { return changes_.outcomes(); }

 private:
  using Runs = std::map<OrderKey, OrderRun>;

  /// What the known journal says about a run whose claim is not confirmed.
  enum class ClaimStatus : std::uint8_t {
    kClaimable,  ///< The order may be claimed.
    kAnswered,   ///< The known record decides the reply.
    kNeedsRead   ///< The known record may be stale and must be read again.
  };

  // Forwards.
  /// Refuses a forward whose issue time or deadline is invalid, and every
  /// forward while the host has no lease. Returns whether it was refused.
  bool RefuseInvalid(const model::OrderForward& forward, const OrderKey& key,
                     Actions& out);
  /// Adds a forward to the run of the same order, or answers it at once.
  void Join(OrderRun& run, const model::OrderForward& forward, Actions& out);
  /// Adds a run for an order that has none, unless the forward can be answered
  /// at once.
  void AddRun(const model::OrderForward& forward, OrderKey key, Actions& out);
  OrderRun MakeRun(const model::OrderForward& forward, OrderKey key);
  /// Refuses a new run if too many orders are unsent or the store does not
  /// answer. Returns whether it was refused.
  bool RefuseForCapacity(const OrderRun& run, Actions& out);
  ClaimStatus ClassifyUnconfirmed(const OrderRun& run) const;
  /// Whether `record` is new enough to answer `run`.
  bool IsFresh(const OrderRun& run, const model::OrderRecord& record) const;
  model::CallerReply ReplyFromKnownRecord(const OrderRun& run) const;

  // Store calls.
  /// Starts the next read or write if one is needed and allowed now.
  void Advance(Actions& out);
  /// Whether a read or write may be needed.
  bool HasWork() const;
  /// Whether a write is needed to confirm that the known journal is current,
  /// even if nothing has changed.
  bool NeedsConfirmingWrite() const { return exclusive_ && !confirmed_; }
  /// When the next write may start; the maximum of the time type if there is
  /// nothing to write.
  base::TimePoint NextWrite() const;
  void StartRead(Actions& out);
  void StartWrite(Actions& out);
  /// Adds claims of queued runs to the write; returns their number.
  std::size_t AddClaims(std::size_t limit, Actions& out);
  /// Whether `record` proves that its order has not run, so that it may be
  /// claimed again.
  bool MayReplace(const model::OrderRecord& record) const;
  model::OrderRecord ClaimRecord(const OrderRun& run) const;
  /// Replaces the known journal by a successful read, unless the read is stale.
  void AcceptRead(std::uint64_t id, model::OrderJournal journal,
                  std::uint64_t revision, Actions& out);
  void OnCasApplied(std::uint64_t revision, Actions& out);
  void OnStoreFailure(Actions& out);
  void OnStoreSuccess(Actions& out);

  // Runs.
  /// Updates all runs after the known journal has changed.
  void ReconcileRuns(Actions& out);
  void UpdateUnsentRun(OrderRun& run, Actions& out);
  /// Sends the order of a run whose claim is in the store, or releases the
  /// claim if the deadline has passed or the lease is lost.
  void Confirm(OrderRun& run, Actions& out);
  /// Releases the claim of `key` if it is of this incarnation and has no run.
  void ReleaseAbandonedClaim(const OrderKey& key);
  void SetState(OrderRun& run, RunState state);
  void Erase(const OrderKey& key);
  /// Ends runs and answers waiters that have timed out.
  void ExpireRuns(Actions& out);
  void ExpireRun(OrderRun& run, Actions& out);
  void ExpireWaiters(OrderRun& run, Actions& out);
  /// Records the outcome of an order that ran or may have run, and replies.
  void EndRun(OrderRun& run, model::OrderState state, std::string outcome,
              std::uint64_t version, model::CallerReply reply, Actions& out);
  /// Records that the claimed order of `run` has not run, so that it may be
  /// claimed again.
  void ReleaseRun(const OrderRun& run);
  /// Refuses all unsent orders.
  void RefuseUnsent(model::ErrorCode code, const std::string& message,
                    std::chrono::milliseconds retry_after, Actions& out);
  bool ProvenNotRun(const OrderKey& key) const;
  /// The execution status for the refusal of an order that this host has not
  /// sent: not run if proven, otherwise may have run.
  model::ExecutionStatus ExecutionIfUnsent(const OrderKey& key) const;
  void ReplyAll(OrderRun& run, const model::CallerReply& reply, Actions& out);
  void SendReply(const model::CallId& id, const model::CallerReply& reply,
                 Actions& out);
  void UpdateWakeup(const OrderRun& run);
  /// Maximum encoded size of all records of the journal.
  std::size_t MaxRecordBytes() const;

  CoordinatorState& state_;
  std::uint32_t bucket_;
  StoreAccess store_;
  JournalView view_;
  /// The journal that the write in flight creates if it is applied.
  JournalView next_view_;
  /// Claims of the write that is in flight or whose outcome is unknown.
  std::vector<OrderKey> claims_in_flight_;
  PendingChanges changes_;
  Runs runs_;
  /// Keys of the runs in kClaiming, in order of arrival. May contain keys of
  /// runs that have left this state.
  std::deque<OrderKey> claim_queue_;
  /// Number of runs in kReading.
  std::size_t runs_reading_ = 0;
  bool has_view_ = false;
  /// The journal must be read before the next write.
  bool read_needed_ = true;
  std::uint64_t revision_ = 0;
  /// Reads that return a lower revision are stale.
  std::uint64_t min_revision_ = 0;
  std::uint64_t last_accepted_read_id_ = 0;
  /// No other host claims orders of this bucket; see OnExclusiveBuckets.
  bool exclusive_ = false;
  /// A write has proved that `view_` is current, since the bucket became
  /// exclusive.
  bool confirmed_ = false;
  /// The write in flight began while the bucket was exclusive.
  bool write_confirms_ = false;
  bool outage_reported_ = false;
  bool full_reported_ = false;
  /// Lower bound of the times at which a run or one of its waiters expires.
  base::TimePoint runs_wakeup_ = base::TimePoint::max();
};

}  // namespace berylreach::orders
