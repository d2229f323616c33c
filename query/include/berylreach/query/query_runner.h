// Runs one query or lookup.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
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
#include "berylreach/routing/snapshot.h"

namespace berylreach::query {

/// State machine of one caller request of kind query or lookup (design 3.5 to
/// 3.7 and 3.9). Appends exactly one Finish, unless the caller cancels first.
class QueryRunner {
 public:
  /// Snapshots that one request is planned at, the first included.
  static constexpr std::uint32_t kMaxPlans = 3;
  /// Leaves on which an unproven request may fail before it is given up, since
  /// each failure may be a death that has not been recognised yet.
  static constexpr std::uint32_t kMaxRiskyFailures = 2;
  /// Given with refusals for want of a usable leaf; leaf states change within
  /// about this time.
  static constexpr std::chrono::milliseconds kRetryAfter{1000};
  /// How long the replies of withdrawn hedges are awaited, for the refund.
  static constexpr base::Duration kSettleTime = std::chrono::seconds(1);

  QueryRunner(const base::Clock& clock, QueryContext& context,
              model::CallerRequest request, HedgePolicy policy = {});

  void Start(std::vector<Action>& out);
  /// Replies that match no call of this runner are ignored.
  void OnLeafReply(const model::LeafReply& reply, std::vector<Action>& out);
  /// Calls sent to `host` will get no reply.
  void OnMemberLost(const model::HostName& host, std::vector<Action>& out);
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
  // Planning.
  bool RefuseInvalid(std::vector<Action>& out);
  void Plan(std::vector<Action>& out);
  void Adopt(const routing::Snapshot& snapshot, std::vector<Action>& out);
  void Launch(std::vector<Action>& out);
  bool TryReplan(std::vector<Action>& out);
  void LaunchCanary(std::vector<Action>& out);
  ShardProgress* CanaryShard(bool suspect);

  // Calls.
  bool Send(ShardProgress& shard, bool hedge, bool extra,
            std::vector<Action>& out);
  model::LeafCall MakeCall(const ShardProgress& shard,
                           const model::LeafName& leaf, bool extra) const;
  void Withdraw(ShardProgress& shard, std::vector<Action>& out);
  void WithdrawAll(std::vector<Action>& out);
  void Hedge(std::vector<Action>& out);
  bool MayHedge(const ShardProgress& shard) const;
  void ScheduleHedge(ShardProgress& shard);

  // Replies.
  void SettleWithdrawn(const ActiveCall& call, const model::LeafReply& reply);
  void OnResult(const ActiveCall& call, const model::LeafReply& reply,
                std::vector<Action>& out);
  void OnFailure(const ActiveCall& call, const model::LeafReply& reply,
                 std::vector<Action>& out);
  void OnDeath(const ActiveCall& call, std::vector<Action>& out);
  void Recover(ShardProgress& shard, model::MissingReason reason,
               std::vector<Action>& out);
  bool Matches(const ActiveCall& call, const model::LeafReply& reply) const;

  // Ending.
  void Conclude(std::vector<Action>& out);
  void GiveUpOpenShards(model::MissingReason reason);
  model::CallerReply BuildReply() const;
  model::Refusal RefusalFor(std::uint32_t answered) const;
  void FinishWith(model::CallerReply reply, std::vector<Action>& out);
  void Refuse(model::ErrorCode code, std::string message,
              std::chrono::milliseconds retry_after, std::vector<Action>& out);
  void RefuseBlocked(std::vector<Action>& out);
  model::Ran RanSoFar() const;

  std::uint32_t OpenShards() const;
  bool CoverageOutOfReach() const;
  ShardProgress& ShardOf(const ActiveCall& call);

  const base::Clock& clock_;
  QueryContext& context_;
  model::CallerRequest request_;
  HedgePolicy policy_;
  std::uint64_t fingerprint_;
  std::uint32_t priority_ = 0;

  routing::Snapshot snapshot_;
  std::vector<std::uint64_t> excluded_versions_;
  std::uint32_t plans_ = 0;
  std::vector<ShardProgress> shards_;
  std::unordered_map<model::CallId, ActiveCall> calls_;
  /// Only the canary's shard is started.
  bool canary_phase_ = false;

  std::uint32_t deaths_ = 0;
  std::uint32_t risky_failures_ = 0;
  std::optional<base::TimePoint> last_death_;
  bool ran_ = false;
  /// Some call ended without proof that it did not run.
  bool may_have_run_ = false;
  std::chrono::milliseconds overload_retry_after_{0};

  std::optional<model::CallerReply> held_reply_;
  bool finished_ = false;
  base::TimePoint finished_at_{};
};

}  // namespace berylreach::query
