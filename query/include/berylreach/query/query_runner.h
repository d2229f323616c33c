// Runs one query or lookup.
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

/// State machine of one caller request of kind query or lookup (design 3.5 to
/// 3.7 and 3.9). Appends exactly one Finish, unless the caller cancels first.
class QueryRunner {
 public:
  /// Shards on which the canary may fail before the request is given up.
  static constexpr std::uint32_t kMaxCanaryShards = 2;
  /// Snapshots that one request is planned at, the first included.
  static constexpr std::uint32_t kMaxPlans = 3;
  /// Leaves on which an unproven request may fail before it is given up, since
  /// each failure may be a death that has not been recognised yet.
  static constexpr std::uint32_t kMaxRiskyFailures = 2;
  /// Leaves without a free slot that a canary passes by before it waits at the
  /// first of them.
  static constexpr std::uint32_t kMaxCanaryMoves = 3;
  /// Given with refusals for want of a usable leaf; leaf states change within
  /// about this time.
  static constexpr std::chrono::milliseconds kRetryAfter{1000};
  /// How soon a due hedge is tried again when the budget was empty.
  static constexpr base::Duration kHedgeRetryInterval =
      std::chrono::milliseconds(2);
  /// How long the replies of withdrawn hedges are awaited, for the refund.
  static constexpr base::Duration kSettleTime = std::chrono::seconds(1);

  QueryRunner(const base::Clock& clock, QueryContext& context,
              model::CallerRequest request, HedgePolicy policy = {});

  void Start(std::vector<Action>& out);
  /// Replies that match no call of this runner are ignored.
  void OnLeafReply(const model::LeafReply& reply, std::vector<Action>& out);
  /// Calls sent to `host` will get no reply, and their work has ended.
  void OnMemberRemoved(const model::HostName& host, std::vector<Action>& out);
  /// Calls sent to `host` will get no reply, but may still run at their leaves.
  /// A call that must run alone is therefore not repeated yet.
  void OnPeerDisconnected(const model::HostName& host,
                          std::vector<Action>& out);
  void Tick(std::vector<Action>& out);
  /// The caller has gone away; nobody is answered.
  void Cancel(std::vector<Action>& out);

  /// When Tick is next needed; nothing once done.
  std::optional<base::TimePoint> NextWakeup() const;

  /// The reply was given or the caller is gone.
  bool finished() const { return finished_; }
  /// Finished, and no reply is of use any more: the runner can be destroyed.
  bool done() const;
  const model::CallerRequest& request() const { return request_; }

 private:
  /// Whether a retry is charged to the retry budget.
  enum class RetryCost : std::uint8_t { kBudgeted, kFree };

  // Planning (query_runner_plan.cc).
  bool RefuseInvalid(std::vector<Action>& out);
  void Plan(std::vector<Action>& out);
  void Adopt(const routing::Snapshot& snapshot);
  void Launch(std::vector<Action>& out);
  void LaunchAll(std::vector<Action>& out);
  void LaunchCanary(std::vector<Action>& out);
  ShardProgress* CanaryShard();
  ShardProgress* SuspectShard();
  void WaitAtFirstChoice();
  const ShardProgress& ProgressOf(std::uint32_t shard) const;
  bool TryReplan(std::vector<Action>& out);
  bool ReachesFurther(const routing::Snapshot& snapshot) const;

  // Calls and hedges (query_runner_calls.cc).
  std::optional<routing::Replica> PickReplica(const ShardProgress& shard) const;
  /// The fingerprint is unproven and no shard has answered yet.
  bool RunsCanary() const;
  /// The fingerprint's choice among `shards`, which must be open.
  std::optional<routing::Placement> PickCanary(
      std::span<const std::uint32_t> shards) const;
  std::string OwnRegion() const;
  bool Send(ShardProgress& shard, bool hedge, bool extra,
            std::vector<Action>& out);
  const model::HostName* Destination(const model::LeafName& leaf,
                                     bool alone) const;
  model::LeafCall MakeCall(const ShardProgress& shard,
                           const model::LeafName& leaf,
                           base::Duration budget) const;
  void Withdraw(ShardProgress& shard, std::vector<Action>& out);
  void WithdrawAll(std::vector<Action>& out);
  void ScheduleHedge(ShardProgress& shard);
  base::TimePoint HedgeTime(const ShardProgress& shard) const;
  bool HedgingOpen() const;
  void HedgeDue(std::vector<Action>& out);
  void HedgeShard(ShardProgress& shard, std::vector<Action>& out);

  // Replies (query_runner_replies.cc).
  void SettleWithdrawn(const ActiveCall& call, const model::LeafReply& reply,
                       std::vector<Action>& out);
  bool Matches(const ActiveCall& call, const model::LeafReply& reply) const;
  void OnResult(const ActiveCall& call, const model::LeafReply& reply,
                std::vector<Action>& out);
  void OnFailure(const ActiveCall& call, const model::LeafReply& reply,
                 std::vector<Action>& out);
  void OnMoved(const ActiveCall& call, std::vector<Action>& out);
  void OnNoSlot(const ActiveCall& call, std::vector<Action>& out);
  void OnSuspect(const ActiveCall& call, std::vector<Action>& out);
  bool NoteDeath(const ActiveCall& call, const model::LeafReply& reply,
                 std::vector<Action>& out);
  void Recover(ShardProgress& shard, model::MissingReason reason,
               RetryCost cost, std::vector<Action>& out);
  bool Retry(ShardProgress& shard, RetryCost cost, std::vector<Action>& out);
  std::vector<model::CallId> CallsTo(const model::HostName& host,
                                     bool alone_too) const;
  void ReplaceCalls(const std::vector<model::CallId>& lost,
                    std::vector<Action>& out);
  void AfterCanaryFailed(model::MissingReason reason, std::vector<Action>& out);

  // Ending (query_runner_end.cc).
  void MarkMissing(ShardProgress& shard, model::MissingReason reason);
  void GiveUpOpenShards(model::MissingReason reason);
  bool CoverageOutOfReach() const;
  void Conclude(std::vector<Action>& out);
  model::CallerReply BuildReply() const;
  model::Answer BuildAnswer() const;
  model::Refusal BuildRefusal() const;
  model::ErrorCode FailureCode() const;
  model::Ran RanSoFar() const;
  void Refuse(model::ErrorCode code, std::string message,
              std::chrono::milliseconds retry_after, std::vector<Action>& out);
  void RefuseBlocked(std::chrono::milliseconds retry_after,
                     std::vector<Action>& out);
  void FinishWith(model::CallerReply reply, std::vector<Action>& out);
  /// The latest time that a repeat may come without meeting a host that has
  /// not heard of a death.
  std::chrono::milliseconds RetryAfterDeath() const;

  quarantine::TrustLevel CurrentTrustLevel() const;
  void Record(std::string type, std::string subject, std::string detail,
              std::vector<Action>& out) const;
  /// The reply is decided, though it may still be held.
  bool Decided() const { return finished_; }

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
  /// Live calls, and withdrawn hedges whose reply decides on a refund.
  std::unordered_map<model::CallId, ActiveCall> calls_;
  /// Not later than the first due hedge.
  base::TimePoint next_hedge_ = base::TimePoint::max();

  /// Only the canary's shard has been started.
  bool canary_phase_ = false;
  /// Leaves that had no free slot for the canary; empty once it waits.
  std::vector<model::LeafName> canary_moves_;
  bool canary_waits_ = false;
  /// Refusals of the waiting canary as overloaded. The first kMaxCanaryMoves
  /// cost no retry; more would multiply the calls of a full service.
  std::uint32_t canary_refusals_ = 0;
  std::uint32_t failed_canaries_ = 0;
  std::uint32_t canary_deaths_ = 0;
  std::uint32_t risky_failures_ = 0;
  std::optional<base::TimePoint> last_death_;

  bool ran_ = false;
  /// Some call ended without proof that it did not run.
  bool may_have_run_ = false;
  std::chrono::milliseconds overload_retry_after_{0};

  bool finished_ = false;
  base::TimePoint finished_at_{};
};

}  // namespace berylreach::query
