// The life of one caller request: calls to leaves, retries, hedges, the answer.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/extra_call_budget.h"
#include "berylreach/forward/leaf_selector.h"
#include "berylreach/forward/message.h"
#include "berylreach/forward/route_table.h"
#include "berylreach/forward/shard_group.h"
#include "berylreach/forward/shard_part.h"

namespace berylreach::forward {

/// Send a call of the request to a leaf.
struct StartLeafCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> leaf;
  /// Connections that this host may hold to the leaf.
  std::size_t connections = 1;
  /// When the call counts as sent in the leaf's record.
  base::TimePoint sent{};
  /// The request may have ended a leaf, and no other call of it runs here.
  bool alone = false;
  /// The leaf is told that the call ends then.
  base::TimePoint deadline{};
};

/// Have another host run a group of the request's shards.
struct StartGroupCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> host;
  ShardSubset subset;
  /// When the call counts as sent in the host's record.
  base::TimePoint sent{};
  base::TimePoint deadline{};
};

/// Give up a group call; the host counts as unreachable.
struct AbandonGroupCall {
  CallId call = 0;
};

/// Tell the host for which this one runs a group what has been answered so far.
struct ReportProgress {
  GroupReply reply;
};

/// Answer the caller. Always the last action of a run.
struct FinishRequest {
  CallerReply reply;
};

using RunAction = std::variant<StartLeafCall, StartGroupCall, AbandonGroupCall,
                               ReportProgress, FinishRequest>;

/// What all runs of a host share.
struct RunContext {
  const base::Clock& clock;
  LeafSelector& selector;
  ExtraCallBudget& budget;
  /// Bytes of one record of a merged answer.
  std::size_t record_bytes = 1;
  /// The next id of a call.
  std::function<CallId()> next_call;
  /// Whether a connection to this host is open; a message to any other one
  /// waits for a round trip first.
  std::function<bool(const LeafRecord&)> has_connection;
  /// Takes back a call that still waits for its connection; false if it may
  /// have been sent.
  std::function<bool(CallId)> withdraw;
};

/// Drives one request. A route to one leaf is a run of one part whose answer
/// is passed through whole; a scattering route has a part for each shard and
/// merges. Groups of shards may be run by other hosts, whose merged answers
/// are merged again. Events append to `actions`. Not thread-safe.
class RequestRun {
 public:
  /// `route` must belong to `table`, whose version serves the whole run.
  RequestRun(RunContext& context, std::shared_ptr<const RouteTable> table,
             const Route& route, const std::string& single_service,
             CallerRequest request);

  /// Leaves the shards of `groups` to other hosts. Call before Start.
  void Delegate(const std::vector<ShardGroup>& groups);
  /// Runs only these shards, for another host: reports what has been answered
  /// from `subset.partial_at` on, and goes on for the rest. Call before Start.
  void RestrictToSubset(const ShardSubset& subset);
  /// A leaf may have ended under an earlier attempt of the request: sends one
  /// call, and the others when it has completed. Call before Start.
  void ProbeFirst() { probe_first_ = true; }

  void Start(std::vector<RunAction>& actions);
  void OnReply(CallId call, LeafReply reply, std::vector<RunAction>& actions);
  void OnFailure(CallId call, CallFailure failure,
                 std::vector<RunAction>& actions);
  void OnGroupReply(CallId call, GroupReply reply,
                    std::vector<RunAction>& actions);
  /// Answers so far of a group that is still running.
  void OnGroupProgress(CallId call, GroupReply reply,
                       std::vector<RunAction>& actions);
  void OnGroupFailure(CallId call, GroupFailure failure,
                      std::vector<RunAction>& actions);
  void Tick(std::vector<RunAction>& actions);
  /// Ends the run now, with the answers there are if they make a success.
  void GiveUp(const std::string& cause, std::vector<RunAction>& actions);
  /// When Tick is due next.
  base::TimePoint NextWakeup() const;

  bool finished() const { return finished_; }
  const CallerRequest& request() const { return request_; }
  const Route& route() const { return route_; }
  /// Parts answered and parts in all, for the log.
  std::size_t answered() const { return answered_; }
  std::size_t parts() const { return total_; }
  std::size_t calls_sent() const { return calls_sent_; }
  /// Whether a leaf has lived to answer a call of the run.
  bool completed_any() const { return completed_any_; }
  /// The first few parts without an answer and what became of their calls, for
  /// the log.
  std::string DescribeUnanswered() const;
  /// Names of the hosts that run groups, for the log.
  std::string DescribeHosts() const;

 private:
  struct RemoteGroup {
    CallId call = 0;
    std::shared_ptr<LeafRecord> host;
    /// Repeats the group if the host is lost; may be null.
    std::shared_ptr<LeafRecord> backup;
    base::TimePoint sent{};
    bool running = true;
    /// The host has reported, so it lives.
    bool heard = false;
    /// Another host was lost with the same shards.
    bool repeats = false;
    std::size_t may_skip = 0;
    /// The shards, which are called from here if the host declines.
    std::vector<ShardPart> parts;
    GroupReply reply;
  };
  struct Located {
    ShardPart* part = nullptr;
    PartCall* call = nullptr;
  };

  Located Locate(CallId call);
  /// Time until an answer is due: the objective's, or the last one after it.
  base::Duration TimeLeft() const;
  RemoteGroup* FindGroup(CallId call);
  /// Time of a message to the host and of its answer.
  std::chrono::milliseconds ExchangeTime(const LeafRecord& host) const;
  LeafQuery QueryFor(const ShardPart& part, bool any) const;
  void StartGroups(std::vector<RunAction>& actions);
  /// Sends the first call of the part from here; an extra one if it `repeats`
  /// what another host may have called.
  void StartPart(ShardPart& part, bool repeats,
                 std::vector<RunAction>& actions);
  bool SendCall(ShardPart& part, bool any, std::vector<RunAction>& actions);
  /// No leaf of the part may be called now: tries again soon, or fails the part
  /// if that has gone on for too long.
  void WaitForLeaf(ShardPart& part);
  /// Whether a retry is within what the route allows and has a leaf.
  bool MayRetry(const ShardPart& part) const;
  void Retry(ShardPart& part, std::vector<RunAction>& actions);
  /// Sends the next call of a part that was held back.
  void Resume(ShardPart& part, std::vector<RunAction>& actions);
  /// Parts whose call was cut off are held back until another call completes,
  /// since the request may end each leaf that runs it. When none is left that
  /// could, one of them is tried alone; if that call is cut off too, all fail.
  /// A group that runs for another host tries none: that host decides.
  void ResumeHeld(std::vector<RunAction>& actions);
  /// Whether something runs or is due that may complete.
  bool AwaitsAnswer() const;
  /// A call that shows whether leaves live through the request runs alone.
  bool MayHedge() const;
  void Hedge(ShardPart& part, std::vector<RunAction>& actions);
  void FailPart(ShardPart& part);
  /// Leaves out the parts whose leaves are busiest and would answer too late,
  /// as many as the request may lack.
  void SkipBusyParts();
  bool TakeGroupReply(RemoteGroup& group, GroupReply reply);
  /// The group's host is lost. Its shards go to the backup if that cannot reach
  /// more leaves than the request may, else they count as failed.
  void LoseGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  bool MayRepeat(const RemoteGroup& group) const;
  void SendGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  void RunDeclined(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Groups without an answer are given up then.
  base::TimePoint GroupEnd() const;
  /// Groups whose hosts have not reported by then are lost.
  base::TimePoint ReportsDue() const;
  void AbandonLostGroups(std::vector<RunAction>& actions);
  void Settle(std::vector<RunAction>& actions);
  /// Whether answers of so many parts make a success.
  bool IsEnough(std::size_t parts) const { return parts >= least_parts_; }
  /// The merged answer of the parts so far.
  CallerReply Merge() const;
  void Report(std::vector<RunAction>& actions);
  void FinishMerged(std::vector<RunAction>& actions);
  void FinishSingle(std::vector<RunAction>& actions);
  void Refuse(Refusal refusal, std::string cause,
              std::vector<RunAction>& actions);
  /// Time until enough parts have a leaf whose pause is over; zero if enough
  /// have one now, or too few would have.
  std::chrono::milliseconds PauseLeft() const;
  /// Takes back the running calls that have not been sent; false if one may
  /// have been.
  bool WithdrawCalls();
  /// What is true of a request that is refused now. Calls that have not been
  /// sent are taken back.
  Refusal RefusalNow(Refusal if_may_have_run);

  RunContext& context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  CallerRequest request_;
  std::uint64_t seed_;
  std::vector<ShardPart> parts_;
  std::vector<RemoteGroup> groups_;
  /// Parts of this host and of all groups.
  std::size_t total_ = 0;
  std::size_t least_parts_ = 1;
  /// Parts of this host that may be left out without a call.
  std::size_t may_skip_ = 0;
  /// This run is a group of another host's request.
  bool narrowed_ = false;
  /// Another host may have called the same leaves.
  bool repeats_ = false;
  /// Parts in the last report.
  std::optional<std::size_t> reported_;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
  std::size_t calls_sent_ = 0;
  bool any_may_have_run_ = false;
  bool completed_any_ = false;
  /// One call is sent first.
  bool probe_first_ = false;
  /// Calls are sent one at a time until one completes.
  bool alone_ = false;
  /// A call that was sent alone has been cut off.
  bool lost_alone_ = false;
  bool lost_group_ = false;
  bool finished_ = false;
  /// End of the run: the caller's patience or the route's timeout.
  base::TimePoint deadline_{};
  /// From then on a partial answer is better than waiting on.
  base::TimePoint partial_at_{};
};

}  // namespace berylreach::forward
