// State machine of one caller request: calls to leaves, retries, hedges and the
// final answer.
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

/// Action: send a call of the request to a leaf.
struct StartLeafCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> leaf;
  /// Number of connections that this host may hold to the leaf.
  std::size_t connections = 1;
  /// Send time of the call in the leaf's record.
  base::TimePoint sent{};
  /// The request may have crashed a leaf, and no other call of it runs on this
  /// host.
  bool sole_call = false;
  /// Deadline of the call, which is passed on to the leaf.
  base::TimePoint deadline{};
};

/// Action: have another host run a group of the request's shards.
struct StartGroupCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> host;
  ShardSubset subset;
  /// Send time of the call in the host's record.
  base::TimePoint sent{};
  base::TimePoint deadline{};
};

/// Action: abandon a group call; the host counts as unreachable.
struct AbandonGroupCall {
  CallId call = 0;
};

/// Action: report the answers so far to the host for which this one runs a
/// group.
struct ReportProgress {
  GroupReply reply;
};

/// Action: answer the caller. Always the last action of a run.
struct FinishRequest {
  CallerReply reply;
};

using RunAction = std::variant<StartLeafCall, StartGroupCall, AbandonGroupCall,
                               ReportProgress, FinishRequest>;

/// State that all runs of a host share.
struct RunContext {
  const base::Clock& clock;
  LeafSelector& selector;
  ExtraCallBudget& budget;
  /// Size of one record of a merged answer in bytes.
  std::size_t record_bytes = 1;
  /// Returns the id for the next call.
  std::function<CallId()> next_call;
  /// Whether a connection to this host is open; a message to any other host
  /// first needs a round trip to open one.
  std::function<bool(const LeafRecord&)> has_connection;
  /// Withdraws a call that still waits for a connection; returns false if it
  /// may have been sent.
  std::function<bool(CallId)> withdraw;
};

/// Runs one request. A route to one leaf has one part, whose answer is passed
/// through unchanged. A scattering route has a part for each shard and merges
/// their answers; other hosts may run groups of its shards, whose merged
/// answers are merged again. Each event appends its actions to `actions`. Not
/// thread-safe.
class RequestRun {
 public:
  /// `route` must belong to `table`, whose configuration is used for the whole
  /// run.
  RequestRun(RunContext& context, std::shared_ptr<const RouteTable> table,
             const Route& route, const std::string& single_service,
             CallerRequest request);

  /// Delegates the shards of `groups` to other hosts. Call before Start.
  void Delegate(const std::vector<ShardGroup>& groups);
  /// Runs only the shards of `subset`, for another host. From
  /// `subset.partial_at` on, the run reports the answers so far and continues
  /// with the rest. Call before Start.
  void RestrictToSubset(const ShardSubset& subset);
  /// Sends one call first, and the others when it has completed, because an
  /// earlier attempt of the request may have crashed a leaf. Call before Start.
  void ProbeFirst() { probe_first_ = true; }

  /// Sends the first calls, or refuses the request if too few parts have a
  /// leaf.
  void Start(std::vector<RunAction>& actions);
  /// Handle the result of a call to a leaf.
  void OnReply(CallId call, LeafReply reply, std::vector<RunAction>& actions);
  void OnFailure(CallId call, CallFailure failure,
                 std::vector<RunAction>& actions);
  /// Handles the final answer of a group.
  void OnGroupReply(CallId call, GroupReply reply,
                    std::vector<RunAction>& actions);
  /// Handles a report of the answers so far from a group that is still running.
  void OnGroupProgress(CallId call, GroupReply reply,
                       std::vector<RunAction>& actions);
  /// Handles the failure of a group.
  void OnGroupFailure(CallId call, GroupFailure failure,
                      std::vector<RunAction>& actions);
  /// Sends calls and hedges that are due, and answers when it is time to.
  void Tick(std::vector<RunAction>& actions);
  /// Ends the run now: answers with the parts so far if they suffice, else
  /// refuses with `cause`.
  void GiveUp(const std::string& cause, std::vector<RunAction>& actions);
  /// Time at which Tick must be called next.
  base::TimePoint NextWakeup() const;

  bool finished() const { return finished_; }
  const CallerRequest& request() const { return request_; }
  const Route& route() const { return route_; }
  /// Number of answered parts, of this host and all groups, for the log.
  std::size_t answered() const { return answered_; }
  std::size_t parts() const { return total_; }
  std::size_t calls_sent() const { return calls_sent_; }
  /// Whether a leaf has completed a call of the run, with success or failure.
  bool completed_any() const { return completed_any_; }
  /// Describes the first few unanswered parts and the state of their calls, for
  /// the log.
  std::string DescribeUnanswered() const;
  /// Names the hosts that run groups, for the log.
  std::string DescribeHosts() const;

 private:
  struct RemoteGroup {
    CallId call = 0;
    std::shared_ptr<LeafRecord> host;
    /// Runs the group again if the host is lost; may be null.
    std::shared_ptr<LeafRecord> backup;
    base::TimePoint sent{};
    bool running = true;
    /// The host has reported, so it is alive.
    bool has_reported = false;
    /// A former host of the group was lost and may have called the same leaves.
    bool repeats = false;
    std::size_t may_skip = 0;
    /// The group's parts; this host runs them itself if the other one declines.
    std::vector<ShardPart> parts;
    GroupReply reply;
  };
  struct FoundCall {
    ShardPart* part = nullptr;
    PartCall* call = nullptr;
  };

  /// Returns the call and its part; null pointers if there is none.
  FoundCall FindCall(CallId call);
  /// Time until the partial answer is due or, after that time, until the
  /// deadline.
  base::Duration TimeLeft() const;
  /// Returns the group with this call; null if there is none.
  RemoteGroup* FindGroup(CallId call);
  /// Expected time of a message to the host and of its answer, including the
  /// time to open a connection if there is none.
  std::chrono::milliseconds ExchangeTime(const LeafRecord& host) const;
  LeafQuery QueryFor(const ShardPart& part, bool allow_unhealthy) const;
  void StartGroups(std::vector<RunAction>& actions);
  /// Sends the first call of the part from this host. If it `repeats` a call
  /// that another host may have sent, it takes an extra call from the budget.
  void StartPart(ShardPart& part, bool repeats,
                 std::vector<RunAction>& actions);
  bool SendCall(ShardPart& part, bool allow_unhealthy,
                std::vector<RunAction>& actions);
  /// Schedules another attempt for a part without a callable leaf, or fails the
  /// part if it has waited too long.
  void WaitForLeaf(ShardPart& part);
  /// Whether the route allows a retry of the part and a leaf is available for
  /// it.
  bool MayRetry(const ShardPart& part) const;
  /// Sends another call of the part if nothing of it is running, or fails the
  /// part if it may not be retried.
  void Retry(ShardPart& part, std::vector<RunAction>& actions);
  /// Sends the next call of a held part.
  void Resume(ShardPart& part, std::vector<RunAction>& actions);
  /// Sends the calls of held parts if possible. A part whose connection was
  /// lost is held until another call completes, since the request may crash
  /// each leaf that runs it. If no other call can complete, one held part is
  /// tried alone; if its connection is lost too, all held parts fail. A group
  /// that runs for another host tries no part alone: that host decides.
  void ResumeHeld(std::vector<RunAction>& actions);
  /// Whether a call or a group is running or scheduled that may still complete.
  bool AwaitsAnswer() const;
  /// Whether hedges are allowed. While a call runs alone, to show whether a
  /// leaf survives the request, there are none.
  bool MayHedge() const;
  /// Sends a hedge if the last call of the part is overdue and the budget
  /// allows one.
  void Hedge(ShardPart& part, std::vector<RunAction>& actions);
  void FailPart(ShardPart& part);
  /// Fails the parts whose leaves are busiest and would answer too late, at
  /// most as many as may be left out without a call.
  void SkipBusyParts();
  /// Stores the answers of a group; returns false if their number is
  /// impossible.
  bool AcceptGroupReply(RemoteGroup& group, GroupReply reply);
  /// Handles the loss of the group's host. The backup runs the shards again if
  /// that keeps the request within its maximum number of leaves; else they
  /// count as failed.
  void HandleGroupLoss(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Whether the backup may run the group.
  bool MayRepeat(const RemoteGroup& group) const;
  void SendGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Runs the parts of a declined group on this host.
  void RunDeclinedGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Time at which groups without an answer are abandoned.
  base::TimePoint GroupDeadline() const;
  /// Time by which the host of a running group must have reported; later it
  /// counts as lost.
  base::TimePoint ReportDeadline() const;
  /// Abandons groups whose report or answer is overdue.
  void AbandonLostGroups(std::vector<RunAction>& actions);
  /// Answers if the result is certain or due; a group reports instead while
  /// parts are missing.
  void FinishIfDecided(std::vector<RunAction>& actions);
  /// Whether answers of this many parts make a success.
  bool IsEnough(std::size_t parts) const { return parts >= min_parts_; }
  /// Merges the answers of the parts so far.
  CallerReply Merge() const;
  /// Reports the answers so far, unless their number is still that of the last
  /// report.
  void Report(std::vector<RunAction>& actions);
  void FinishMerged(std::vector<RunAction>& actions);
  void FinishSingle(std::vector<RunAction>& actions);
  void Refuse(Refusal refusal, std::string cause,
              std::vector<RunAction>& actions);
  /// Time until enough parts have a leaf that is not paused; zero if enough
  /// have one now, or too few ever will.
  std::chrono::milliseconds PauseLeft() const;
  /// Withdraws the running calls that have not been sent; returns false if any
  /// of them may have been sent.
  bool WithdrawCalls();
  /// Withdraws unsent calls and returns the refusal that applies: kNotRun if no
  /// leaf can have run the request, else `if_may_have_run`.
  Refusal RefusalNow(Refusal if_may_have_run);

  RunContext& context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  CallerRequest request_;
  std::uint64_t seed_;
  std::vector<ShardPart> parts_;
  std::vector<RemoteGroup> groups_;
  /// Number of parts of this host and of all groups.
  std::size_t total_ = 0;
  std::size_t min_parts_ = 1;
  /// Number of parts of this host that may be left out without a call.
  std::size_t may_skip_ = 0;
  /// Whether this run is a group of another host's request.
  bool is_group_ = false;
  /// Whether another host may have called the same leaves for this request.
  bool repeats_ = false;
  /// Number of answered parts in the last report.
  std::optional<std::size_t> reported_;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
  std::size_t calls_sent_ = 0;
  bool any_may_have_run_ = false;
  bool completed_any_ = false;
  /// Whether a single call is sent first.
  bool probe_first_ = false;
  /// Whether calls are sent one at a time until one completes.
  bool sole_call_ = false;
  /// Whether the connection of a call that was sent alone was lost.
  bool lost_sole_call_ = false;
  bool lost_group_ = false;
  bool finished_ = false;
  /// Time by which the final answer is sent: a little before the caller's
  /// timeout or the route's, whichever is earlier.
  base::TimePoint deadline_{};
  /// Time from which a sufficient partial answer is sent rather than waiting
  /// for the rest.
  base::TimePoint partial_at_{};
};

}  // namespace berylreach::forward
