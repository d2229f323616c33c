// State machine of one caller request: calls to leaves, retries, hedges and the
// final answer.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/forward/extra_call_budget.h"
#include "berylreach/forward/leaf_selector.h"
#include "berylreach/forward/message.h"
#include "berylreach/forward/route_table.h"
#include "berylreach/forward/shard_group.h"
#include "berylreach/forward/subrequest.h"

namespace berylreach::forward {

/// Action: send a call of the request to a leaf.
struct StartLeafCall {
  CallId call = 0;
  std::shared_ptr<LeafRecord> leaf;
  /// Maximum number of connections that this host may hold to the leaf.
  std::size_t max_connections = 1;
  /// Send time of the call in the leaf's record.
  base::TimePoint sent{};
  /// The request may have crashed a leaf, and no other call of the request runs
  /// on this host.
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

/// Dependencies that all runs of a host share.
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

/// Runs one request. A request of a route to one leaf has one subrequest, whose
/// answer is passed through unchanged. A request of a scattering route has a
/// subrequest for each shard, and their answers are merged. Other hosts may run
/// groups of the shards; each returns a merged answer, which is merged with the
/// other answers here. Each event appends its actions to `actions`. Not
/// thread-safe.
class RequestRun {
 public:
  /// `route` must belong to `table`, whose configuration is used for the whole
  /// run.
  RequestRun(RunContext& context, std::shared_ptr<const RouteTable> table,
             const Route& route, const std::string& single_service,
             CallerRequest request);

  /// Restricts the run to the leaves of `regions`, or of all regions if it is
  /// empty, in place of the route's regions. Call before Start.
  void RestrictToRegions(std::vector<std::string> regions) {
    regions_ = std::move(regions);
  }
  /// Delegates the shards of `groups` to other hosts. Call before Start.
  void Delegate(const std::vector<ShardGroup>& groups);
  /// Runs only the shards of `subset`, for another host. From
  /// `subset.partial_at` on, the run reports the answers so far and continues
  /// with the rest. Call before Start.
  void RestrictToSubset(const ShardSubset& subset);
  /// Sends one call first, and the others when it has completed, because an
  /// earlier attempt of the request may have crashed a leaf. Call before Start.
  void ProbeFirst() { probe_first_ = true; }

  /// Sends the first calls, or refuses the request if too few subrequests have
  /// a responsive leaf that is not paused.
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
  /// Sends the retries and hedges that are due, abandons lost groups, and
  /// answers once the partial answer is due or the deadline has passed.
  void Tick(std::vector<RunAction>& actions);
  /// Ends the run now: merges the answers so far if they suffice, else refuses
  /// with `cause`.
  void GiveUp(const std::string& cause, std::vector<RunAction>& actions);
  /// Time at which Tick must be called next.
  base::TimePoint NextWakeup() const;

  bool finished() const { return finished_; }
  const CallerRequest& request() const { return request_; }
  const Route& route() const { return route_; }
  /// Number of answered subrequests, of this host and all groups, for the log.
  std::size_t answered() const { return answered_; }
  /// Total number of subrequests, of this host and all groups.
  std::size_t subrequest_count() const { return total_; }
  std::size_t calls_sent() const { return calls_sent_; }
  /// Whether a leaf has completed a call of the run, with success or failure.
  bool completed_any() const { return completed_any_; }
  /// Calls that should have been answered by now, of a request that no leaf has
  /// answered; their leaves have answered no other call of this host since.
  std::vector<SubrequestCall> OverdueCalls() const;
  /// Describes the first few unanswered subrequests and the state of their
  /// calls, for the log.
  std::string DescribeUnanswered() const;
  /// Names the hosts that run groups, for the log.
  std::string DescribeHosts() const;

 private:
  /// A group of the request's shards that another host runs.
  struct RemoteGroup {
    CallId call = 0;
    std::shared_ptr<LeafRecord> host;
    /// Runs the group again if the host is lost; may be null.
    std::shared_ptr<LeafRecord> backup;
    base::TimePoint sent{};
    bool running = true;
    /// Whether the host has reported answers, which shows that it is alive.
    bool has_reported = false;
    /// A former host of the group was lost and may have called the same leaves.
    bool repeats = false;
    /// See ShardSubset::may_skip.
    std::size_t may_skip = 0;
    /// The group's subrequests; this host runs them itself if the other host
    /// declines the group.
    std::vector<Subrequest> subrequests;
    GroupReply reply;
  };
  struct FoundCall {
    Subrequest* subrequest = nullptr;
    SubrequestCall* call = nullptr;
  };

  /// Returns the call and its subrequest; null pointers if there is none.
  FoundCall FindCall(CallId call);
  /// Time until the partial answer is due or, after that time, until the
  /// deadline.
  base::Duration TimeLeft() const;
  /// Returns the group with this call; null if there is none.
  RemoteGroup* FindGroup(CallId call);
  /// Expected transit time of a message to the host and of its answer,
  /// including the time to open a connection if none is open.
  std::chrono::milliseconds ExchangeTime(const LeafRecord& host) const;
  LeafQuery QueryFor(const Subrequest& subrequest, bool allow_unhealthy) const;
  void StartGroups(std::vector<RunAction>& actions);
  /// Sends the first call of the subrequest from this host. With `repeats`,
  /// another host may have sent such a call before, so this one is taken from
  /// the budget of extra calls.
  void StartSubrequest(Subrequest& subrequest, bool repeats,
                       std::vector<RunAction>& actions);
  /// Selects a leaf and sends it a call; returns false if no leaf may be
  /// called.
  bool SendCall(Subrequest& subrequest, bool allow_unhealthy,
                std::vector<RunAction>& actions);
  /// Schedules another attempt to select a leaf for a subrequest that has none
  /// to call, or fails the subrequest if it has waited too long.
  void WaitForLeaf(Subrequest& subrequest);
  /// Whether the route allows a retry of the subrequest and a leaf is available
  /// for it.
  bool MayRetry(const Subrequest& subrequest) const;
  /// Does nothing while another call of the subrequest is running. Otherwise
  /// sends a further call, or fails the subrequest if it may not be retried.
  void Retry(Subrequest& subrequest, std::vector<RunAction>& actions);
  /// Sends the next call of a deferred subrequest: its first one, or a retry.
  void Resume(Subrequest& subrequest, std::vector<RunAction>& actions);
  /// Sends the calls of deferred subrequests if possible. A subrequest that
  /// lost the connection of its call is deferred until another call of the
  /// request completes, since the request may crash each leaf that runs it. If
  /// no other call can complete any more, one deferred subrequest is sent by
  /// itself; if the connection of that call is lost too, all deferred
  /// subrequests fail. A run for another host sends no deferred subrequest by
  /// itself, because only the host that received the request may try that.
  void ResumeDeferred(std::vector<RunAction>& actions);
  /// Whether a subrequest that is not deferred, or a group, may still get an
  /// answer.
  bool AwaitsAnswer() const;
  /// Whether hedges are allowed. There are none while a call runs by itself to
  /// show whether a leaf survives the request.
  bool MayHedge() const;
  /// Sends a hedge if the last call of the subrequest is overdue and the budget
  /// allows one.
  void Hedge(Subrequest& subrequest, std::vector<RunAction>& actions);
  void FailSubrequest(Subrequest& subrequest);
  /// Fails the subrequests whose leaves are so busy that they would answer too
  /// late, the busiest first and at most `may_skip_` of them.
  void SkipBusySubrequests();
  /// Stores the answers of a group; returns false if there are more than the
  /// group has shards, or fewer than before.
  bool AcceptGroupReply(RemoteGroup& group, GroupReply reply);
  /// Handles the loss of the group's host. The backup runs the shards again if
  /// MayRepeat; else the shards without an answer count as failed.
  void HandleGroupLoss(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Whether the backup may run the group: the lost host has reported nothing,
  /// and each shard has so few leaves that both hosts together stay within the
  /// route's attempts.
  bool MayRepeat(const RemoteGroup& group) const;
  void SendGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Runs the subrequests of a declined group on this host.
  void RunDeclinedGroup(RemoteGroup& group, std::vector<RunAction>& actions);
  /// Time at which groups without an answer are abandoned.
  base::TimePoint GroupDeadline() const;
  /// Time by which the host of a running group must have reported; if it has
  /// not, it counts as lost if a backup may run the group.
  base::TimePoint ReportDeadline() const;
  /// Abandons groups whose report is overdue and that a backup may run, and
  /// groups whose answer is overdue.
  void AbandonLostGroups(std::vector<RunAction>& actions);
  /// Answers if the result is certain, or if a partial answer is due and
  /// suffices. A group reports its answers instead of a partial answer.
  void FinishIfDecided(std::vector<RunAction>& actions);
  /// Whether `count` answered subrequests make a success.
  bool IsEnough(std::size_t count) const { return count >= min_answered_; }
  /// Merges the answers of the subrequests and groups so far.
  CallerReply Merge() const;
  /// Reports the answers so far, unless their number is still that of the last
  /// report.
  void Report(std::vector<RunAction>& actions);
  void FinishMerged(std::vector<RunAction>& actions);
  void FinishSingle(std::vector<RunAction>& actions);
  void Refuse(Refusal refusal, std::string cause,
              std::vector<RunAction>& actions);
  /// Time until enough subrequests have a leaf that is not paused; zero if
  /// enough have one now, or if too few have any leaf.
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
  /// Regions whose leaves may serve the request; empty for all.
  std::vector<std::string> regions_;
  /// The estimate of the route's calls.
  LatencyModel::RouteEstimate latency_;
  CallerRequest request_;
  std::uint64_t seed_;
  std::vector<Subrequest> subrequests_;
  std::vector<RemoteGroup> groups_;
  /// Number of subrequests of this host and of all groups.
  std::size_t total_ = 0;
  /// Minimum number of answered subrequests for a success.
  std::size_t min_answered_ = 1;
  /// Number of subrequests of this host that may be left out without a call.
  std::size_t may_skip_ = 0;
  /// Whether this run is a group of another host's request.
  bool is_group_ = false;
  /// Whether another host may have called the same leaves for this request.
  bool repeats_ = false;
  /// Number of answered subrequests in the last report.
  std::optional<std::size_t> reported_answers_;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
  std::size_t calls_sent_ = 0;
  /// Whether a leaf may have run the request.
  bool any_may_have_run_ = false;
  /// Whether a leaf has completed a call, here or in a group.
  bool completed_any_ = false;
  /// Whether a single call is sent before all others.
  bool probe_first_ = false;
  /// Whether calls are sent one at a time until one completes, because the
  /// request may crash leaves.
  bool sole_call_ = false;
  /// Whether the connection of such a call was lost.
  bool lost_sole_call_ = false;
  /// Whether the host of a group was lost and no backup ran the group again.
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
