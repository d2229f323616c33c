// State machine that runs one query or lookup.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/caller_reply.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/query/action.h"
#include "berylreach/query/active_call.h"
#include "berylreach/query/hedge_policy.h"
#include "berylreach/query/query_context.h"
#include "berylreach/query/shard_progress.h"
#include "berylreach/routing/choose_by_fingerprint.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/snapshot.h"

namespace berylreach::query {

/// Runs one caller request of kind query or lookup (docs/design.md,
/// sections 3.5 to 3.7 and 3.9). A request whose fingerprint is unproven or
/// suspect is first sent to one shard only, as a canary; the other shards
/// follow once the canary has succeeded. Each event method appends the actions
/// that the host must carry out. Exactly one of all actions is a Finish, unless
/// the caller cancels first. Not thread-safe.
class QueryRunner {
 public:
  /// Number of shards on which the canary fails before the request is given up.
  static constexpr std::uint32_t kMaxCanaryShards = 2;
  /// Maximum snapshots that one request is planned for, including the first.
  static constexpr std::uint32_t kMaxPlans = 3;
  /// Number of leaves on which an unproven request fails before it is given up.
  /// Each failure may be a leaf crash that has not been detected yet.
  static constexpr std::uint32_t kMaxUnprovenFailures = 2;
  /// Number of leaves without a free slot that a canary skips before it queues
  /// at the first of them.
  static constexpr std::uint32_t kMaxFullCanaryLeaves = 3;
  /// Default retry time of refusals, for example when no leaf is usable. Leaf
  /// states change within about this time.
  static constexpr std::chrono::milliseconds kRetryAfter{1000};
  /// Delay until a hedge that was not sent because the budget was empty is
  /// tried again.
  static constexpr base::Duration kHedgeRetryInterval =
      std::chrono::milliseconds(2);
  /// How long replies to cancelled hedges are awaited after the final reply, so
  /// that hedges that never reached a leaf are refunded.
  static constexpr base::Duration kRefundWait = std::chrono::seconds(1);

  QueryRunner(const base::Clock& clock, QueryContext& context,
              model::CallerRequest request, HedgePolicy policy = {});

  /// Validates and plans the request. Called once, before all other events.
  void Start(std::vector<Action>& out);
  /// Handles the reply to a leaf call. A reply with an unknown call id is
  /// ignored.
  void OnLeafReply(const model::LeafReply& reply, std::vector<Action>& out);
  /// `host` is no longer a member: calls that were sent to it get no reply, and
  /// none of them is still running.
  void OnMemberRemoved(const model::HostName& host, std::vector<Action>& out);
  /// The connection to `host` is lost: calls that were sent to it may get no
  /// reply, but may still run at their leaves. Exclusive calls are therefore
  /// not repeated here; they end with their reply, the removal of `host` or the
  /// deadline.
  void OnPeerDisconnected(const model::HostName& host,
                          std::vector<Action>& out);
  /// Ends the request at its deadline, and sends hedges that are due.
  void Tick(std::vector<Action>& out);
  /// The caller has disconnected: cancels all calls and sends no reply.
  void Cancel(std::vector<Action>& out);

  /// When Tick is next needed; nullopt once done.
  std::optional<base::TimePoint> NextWakeup() const;

  /// The final reply was given, or the caller has disconnected; no further
  /// action may be taken for the caller.
  bool finished() const { return finished_; }
  /// Finished, and no leaf reply is awaited any more: the runner can be
  /// destroyed.
  bool done() const;
  const model::CallerRequest& request() const { return request_; }

 private:
  /// Whether a retry spends a token of the retry budget.
  enum class RetryCost : std::uint8_t { kBudgeted, kFree };

  // Planning (query_runner_plan.cc).
  bool RefuseInvalid(std::vector<Action>& out);
  void Plan(std::vector<Action>& out);
  /// Plans the request for `snapshot`: drops all results, and marks shards
  /// without a replica missing.
  void Adopt(const routing::Snapshot& snapshot);
  void Launch(std::vector<Action>& out);
  void LaunchAll(std::vector<Action>& out);
  void LaunchCanary(std::vector<Action>& out);
  /// The shard to send the canary to; null if every open shard was called.
  ShardProgress* CanaryShard();
  /// The same, if the request is suspect.
  ShardProgress* SuspectShard();
  void QueueCanaryAtFirstChoice();
  const ShardProgress& ProgressOf(std::uint32_t shard) const;
  bool TryReplan(std::vector<Action>& out);
  /// Whether `snapshot` has a larger fraction of available shards than the
  /// current snapshot can still answer.
  bool HoldsMoreShards(const routing::Snapshot& snapshot) const;

  // Calls and hedges (query_runner_calls.cc).
  std::optional<routing::Replica> PickReplica(const ShardProgress& shard) const;
  /// Whether the fingerprint is unproven and no shard has answered yet.
  bool RunsCanary() const;
  /// The shard and replica that the fingerprint selects from `shards`, which
  /// must be open. Hosts of one region that know the same leaf states select
  /// the same leaf.
  std::optional<routing::Placement> PickCanary(
      std::span<const std::uint32_t> shards) const;
  std::string OwnRegion() const;
  /// Sends a call for `shard`; returns false if no time is left or no leaf is
  /// usable. `extra` marks hedges and retries, which do not add to the budgets.
  bool Send(ShardProgress& shard, bool hedge, bool extra,
            std::vector<Action>& out);
  /// The host to send a call to: the owner of `leaf`, or the arbiter of the
  /// fingerprint if the call is exclusive. Null if there is none.
  const model::HostName* Destination(const model::LeafName& leaf,
                                     bool exclusive) const;
  model::LeafCall MakeCall(const ShardProgress& shard,
                           const model::LeafName& leaf,
                           base::Duration budget) const;
  void CancelCalls(ShardProgress& shard, std::vector<Action>& out);
  void CancelAllCalls(std::vector<Action>& out);
  void ScheduleHedge(ShardProgress& shard);
  base::TimePoint HedgeTime(const ShardProgress& shard) const;
  bool MayHedge() const;
  void SendDueHedges(std::vector<Action>& out);
  void HedgeShard(ShardProgress& shard, std::vector<Action>& out);

  // Replies (query_runner_replies.cc).
  void OnCancelledCallReply(const ActiveCall& call,
                            const model::LeafReply& reply,
                            std::vector<Action>& out);
  /// Whether `reply` comes from the called leaf and, if it has a result, is for
  /// the version, shard and shard count of the call.
  bool Matches(const ActiveCall& call, const model::LeafReply& reply) const;
  void OnResult(const ActiveCall& call, const model::LeafReply& reply,
                std::vector<Action>& out);
  void OnFailure(const ActiveCall& call, const model::LeafReply& reply,
                 std::vector<Action>& out);
  void OnReplacedByHedge(const ActiveCall& call, std::vector<Action>& out);
  void OnNoSlot(const ActiveCall& call, std::vector<Action>& out);
  void OnSuspect(const ActiveCall& call, std::vector<Action>& out);
  bool RecordLeafLoss(const ActiveCall& call, const model::LeafReply& reply,
                      std::vector<Action>& out);
  /// Handles the loss of a call of `shard`: unless another call is active,
  /// sends a retry, replans the request, or marks the shard missing for
  /// `reason`.
  void Recover(ShardProgress& shard, model::MissingReason reason,
               RetryCost cost, std::vector<Action>& out);
  bool Retry(ShardProgress& shard, RetryCost cost, std::vector<Action>& out);
  std::vector<model::CallId> CallsTo(const model::HostName& host,
                                     bool include_exclusive) const;
  /// Drops calls that get no reply and recovers their shards.
  void ReplaceCalls(const std::vector<model::CallId>& lost,
                    std::vector<Action>& out);
  void OnCanaryFailed(model::MissingReason reason, std::vector<Action>& out);

  // Ending (query_runner_end.cc).
  void MarkMissing(ShardProgress& shard, model::MissingReason reason);
  void GiveUpOpenShards(model::MissingReason reason);
  bool CoverageOutOfReach() const;
  /// Gives the final reply once all shards are closed or the coverage is out of
  /// reach.
  void TryFinish(std::vector<Action>& out);
  model::CallerReply BuildReply() const;
  model::Answer BuildAnswer() const;
  model::Refusal BuildRefusal() const;
  model::ErrorCode FailureCode() const;
  model::ExecutionStatus ExecutionSoFar() const;
  void Refuse(model::ErrorCode code, std::string message,
              std::chrono::milliseconds retry_after, std::vector<Action>& out);
  void RefuseBlocked(std::chrono::milliseconds retry_after,
                     std::vector<Action>& out);
  void FinishWith(model::CallerReply reply, std::vector<Action>& out);
  /// Time until every host knows of the last leaf crash of this request; 0
  /// without a crash. A repeat that arrives earlier may reach a host that still
  /// runs it as unproven.
  std::chrono::milliseconds RetryAfterCrash() const;

  quarantine::TrustLevel CurrentTrustLevel() const;
  void Record(std::string type, std::string subject, std::string detail,
              std::vector<Action>& out) const;

  const base::Clock& clock_;
  QueryContext& context_;
  model::CallerRequest request_;
  HedgePolicy policy_;
  std::uint64_t fingerprint_;

  routing::Snapshot snapshot_;
  std::vector<std::uint64_t> excluded_versions_;
  std::uint32_t plans_ = 0;
  std::vector<ShardProgress> shards_;
  std::uint32_t open_shards_ = 0;
  std::uint32_t missing_shards_ = 0;
  /// Active calls, and cancelled hedges, which are refunded if their reply
  /// shows that they never reached a leaf.
  std::unordered_map<model::CallId, ActiveCall> calls_;
  /// Lower bound of the time when the next hedge is due.
  base::TimePoint next_hedge_ = base::TimePoint::max();

  /// Only the canary has been sent; the other shards wait for its result.
  bool canary_phase_ = false;
  /// Leaves that had no free slot for the canary; empty once it may queue.
  std::vector<model::LeafName> full_canary_leaves_;
  /// The canary may wait in the queue of a leaf's owner.
  bool canary_may_queue_ = false;
  /// How often the queued canary was refused as overloaded. The first
  /// kMaxFullCanaryLeaves retries spend no retry budget; more of these would
  /// multiply the calls of an overloaded service.
  std::uint32_t canary_refusals_ = 0;
  std::uint32_t failed_canaries_ = 0;
  std::uint32_t canary_crashes_ = 0;
  /// Failures that may be leaf crashes, while the request was unproven.
  std::uint32_t unproven_failures_ = 0;
  std::optional<base::TimePoint> last_crash_;

  /// Some leaf has returned a result.
  bool ran_ = false;
  /// Some call ended without proof that it did not run.
  bool may_have_run_ = false;
  /// Longest retry time of the calls refused as overloaded.
  std::chrono::milliseconds overload_retry_after_{0};

  bool finished_ = false;
  base::TimePoint finished_at_{};
};

}  // namespace berylreach::query
