// Calls, retries and hedges of one caller request.
#include "berylreach/forward/request_run.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/forward/min_answered.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using SubrequestState = Subrequest::State;

/// Fraction of the request's timeout after which the final answer is sent at
/// the latest, so that the answer reaches the caller in time.
constexpr double kDeadlineShare = 0.96;

/// Fraction of the objective after which a partial answer is sent. The rest is
/// for the transit to and from the caller.
constexpr double kPartialShare = 0.88;

/// Fraction of the objective for which a request to one leaf waits for a leaf
/// that may be called. If all leaves are cold or fully used for longer, the
/// caller should retry later.
constexpr double kLeafWaitShare = 0.25;

/// Delay before another attempt to select a leaf for a subrequest that had none
/// to call.
constexpr milliseconds kLeafRetryInterval{10};
/// Delay before another attempt to hedge, if no leaf or no budget was
/// available.
constexpr milliseconds kHedgeRetryInterval{20};

base::Duration ScaleBy(milliseconds span, double share) {
  return std::chrono::duration_cast<base::Duration>(span * share);
}

/// Whether the text can be one entry of a list that is separated by commas, as
/// the signatures of a merged answer are.
bool IsListEntry(std::string_view text) {
  return !text.empty() && text.find(',') == std::string_view::npos;
}

}  // namespace

RequestRun::RequestRun(RunContext& context,
                       std::shared_ptr<const RouteTable> table,
                       const Route& route, const std::string& single_service,
                       CallerRequest request)
    : context_(context),
      table_(std::move(table)),
      route_(route),
      regions_(route.regions),
      latency_(context.selector.latencies().Of(
          route.name, route.scatters() ? "" : single_service)),
      request_(std::move(request)),
      seed_(base::Hash64(request_.id)) {
  total_ = route_.scatters() ? route_.shards.size() : 1;
  subrequests_.resize(total_);
  for (std::size_t i = 0; i < total_; ++i) {
    subrequests_[i].shard = i;
    subrequests_[i].service = table_->FindService(
        route_.scatters() ? route_.shards[i] : single_service);
  }
  if (route_.scatters())
    min_answered_ = MinAnswered(total_, route_.minimum_coverage);
  may_skip_ = total_ - min_answered_;
  const milliseconds span = std::min(
      request_.caller_timeout,
      route_.timeout.count() > 0 ? route_.timeout : request_.caller_timeout);
  deadline_ = request_.received + ScaleBy(span, kDeadlineShare);
  partial_at_ = request_.received + ScaleBy(route_.objective, kPartialShare);
}

void RequestRun::Start(std::vector<RunAction>& actions) {
  // Subrequests of groups count as servable: the hosts of the groups know the
  // leaves better and refuse the group if necessary.
  std::size_t servable = total_ - subrequests_.size();
  std::size_t responsive = servable;
  for (Subrequest& subrequest : subrequests_) {
    if (subrequest.service == nullptr) continue;
    if (!repeats_) context_.budget.OnRequest(subrequest.service->name);
    const LeafQuery query = QueryFor(subrequest, true);
    if (context_.selector.HasUnpausedLeaf(query)) ++servable;
    if (context_.selector.HasResponsiveLeaf(query)) ++responsive;
  }
  if (!IsEnough(servable)) {
    Refuse(Refusal::kNotRun, "no leaf serves the request", actions);
    return;
  }
  // No call is needed to detect a recovery: calls of earlier requests still
  // wait for these leaves.
  if (!IsEnough(responsive)) {
    Refuse(Refusal::kNotRun, "the leaves do not answer", actions);
    return;
  }
  if (!groups_.empty()) StartGroups(actions);
  SkipBusySubrequests();
  for (Subrequest& subrequest : subrequests_) {
    if (subrequest.state != SubrequestState::kWaiting) continue;
    if (probe_first_) {
      subrequest.deferred = true;
    } else {
      StartSubrequest(subrequest, repeats_, actions);
    }
  }
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::StartSubrequest(Subrequest& subrequest, bool repeats,
                                 std::vector<RunAction>& actions) {
  if (subrequest.service == nullptr ||
      !context_.selector.HasUnpausedLeaf(QueryFor(subrequest, true)) ||
      (repeats && !context_.budget.TrySpend(subrequest.service->name,
                                            ExtraCall::kRetry))) {
    FailSubrequest(subrequest);
    return;
  }
  SendCall(subrequest, true, actions);
}

void RequestRun::OnReply(CallId call, LeafReply reply,
                         std::vector<RunAction>& actions) {
  const auto [subrequest, sent_call] = FindCall(call);
  if (subrequest == nullptr || finished_ || !sent_call->running) return;
  sent_call->running = false;
  const bool rejected = reply.not_run || reply.wrong_incarnation;
  if (rejected) {
    ++subrequest->rejected;
  } else {
    ++subrequest->attempts_used;
    any_may_have_run_ = true;
    completed_any_ = true;
  }
  if (subrequest->state != SubrequestState::kWaiting) {
    ResumeDeferred(actions);
    FinishIfDecided(actions);
    return;
  }
  const bool is_signed = route_.scatters() ? IsListEntry(reply.signature)
                                           : !reply.signature.empty();
  if (!rejected && reply.success() && is_signed) {
    subrequest->reply = std::move(reply);
    subrequest->state = SubrequestState::kAnswered;
    ++answered_;
    ResumeDeferred(actions);
    FinishIfDecided(actions);
    return;
  }
  // A success without a signature does not come from the leaf and is not passed
  // on.
  if (!rejected && !reply.success() && !reply.signature.empty())
    subrequest->failure = std::move(reply);
  Retry(*subrequest, actions);
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::OnFailure(CallId call, CallFailure failure,
                           std::vector<RunAction>& actions) {
  const auto [subrequest, sent_call] = FindCall(call);
  if (subrequest == nullptr || finished_ || !sent_call->running) return;
  sent_call->running = false;
  if (failure == CallFailure::kNotSent || failure == CallFailure::kWithdrawn) {
    ++subrequest->rejected;
  } else {
    ++subrequest->attempts_used;
    any_may_have_run_ = true;
  }
  if (subrequest->state == SubrequestState::kWaiting) {
    const bool lost = failure == CallFailure::kMayHaveRun && !completed_any_;
    lost_sole_call_ = lost_sole_call_ || (lost && sole_call_);
    if (lost && MayRetry(*subrequest)) {
      subrequest->deferred = subrequest->CountRunningCalls() == 0;
    } else {
      Retry(*subrequest, actions);
    }
  }
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::Tick(std::vector<RunAction>& actions) {
  if (finished_) return;
  const base::TimePoint now = context_.clock.Now();
  if (now >= deadline_) {
    GiveUp("time of the request is over", actions);
    return;
  }
  AbandonLostGroups(actions);
  for (Subrequest& subrequest : subrequests_) {
    if (subrequest.state != SubrequestState::kWaiting || subrequest.deferred)
      continue;
    if (subrequest.retry_at && *subrequest.retry_at <= now) {
      subrequest.retry_at.reset();
      SendCall(subrequest, true, actions);
    } else {
      Hedge(subrequest, actions);
    }
  }
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::GiveUp(const std::string& cause,
                        std::vector<RunAction>& actions) {
  if (finished_) return;
  if (route_.scatters() && (is_group_ || IsEnough(answered_))) {
    FinishMerged(actions);
  } else {
    Refuse(RefusalNow(Refusal::kTimedOut), cause, actions);
  }
}

base::TimePoint RequestRun::NextWakeup() const {
  base::TimePoint next = deadline_;
  const base::TimePoint now = context_.clock.Now();
  if (route_.scatters() && partial_at_ > now)
    next = std::min(next, partial_at_);
  const bool waits_for_group =
      std::any_of(groups_.begin(), groups_.end(),
                  [](const RemoteGroup& group) { return group.running; });
  if (waits_for_group)
    next = std::min(
        next, now < ReportDeadline() ? ReportDeadline() : GroupDeadline());
  const bool hedges = MayHedge();
  for (const Subrequest& subrequest : subrequests_) {
    if (subrequest.state != SubrequestState::kWaiting || subrequest.deferred)
      continue;
    if (subrequest.retry_at) next = std::min(next, *subrequest.retry_at);
    if (!hedges || subrequest.calls.empty()) continue;
    const SubrequestCall& last = subrequest.calls.back();
    if (last.running && subrequest.attempts_used + 1 < route_.attempts)
      next = std::min(next, last.hedge_at);
  }
  return next;
}

std::vector<SubrequestCall> RequestRun::OverdueCalls() const {
  std::vector<SubrequestCall> overdue;
  if (completed_any_) return overdue;
  const base::TimePoint now = context_.clock.Now();
  for (const Subrequest& subrequest : subrequests_)
    for (const SubrequestCall& call : subrequest.calls)
      if (call.running && call.leaf->HasOverdueCall(now))
        overdue.push_back(call);
  return overdue;
}

RequestRun::FoundCall RequestRun::FindCall(CallId call) {
  for (Subrequest& subrequest : subrequests_)
    for (SubrequestCall& sent_call : subrequest.calls)
      if (sent_call.id == call) return {&subrequest, &sent_call};
  return {};
}

LeafQuery RequestRun::QueryFor(const Subrequest& subrequest,
                               bool allow_unhealthy) const {
  return {.service = subrequest.service,
          .regions = &regions_,
          .tried = &subrequest.tried,
          .seed = seed_,
          .allow_unhealthy = allow_unhealthy,
          .avoid_doubtful = !route_.idempotent,
          .may_be_trial = subrequest.tried.empty(),
          .route = latency_.get()};
}

bool RequestRun::SendCall(Subrequest& subrequest, bool allow_unhealthy,
                          std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  auto leaf = context_.selector.Choose(QueryFor(subrequest, allow_unhealthy));
  if (leaf == nullptr) {
    if (subrequest.CountRunningCalls() == 0) WaitForLeaf(subrequest);
    return false;
  }
  subrequest.waiting_since.reset();
  subrequest.tried.push_back(leaf->entry().id);
  const CallId id = context_.next_call();
  const bool sole_call = sole_call_ && !completed_any_;
  subrequest.calls.push_back(
      {.id = id,
       .leaf = leaf,
       .sent = now,
       .hedge_at = now + leaf->HedgeDelay(now, latency_.get()),
       .sole_call = sole_call});
  ++calls_sent_;
  const std::size_t max_connections =
      context_.selector.ConnectionShare(*subrequest.service);
  context_.selector.OnSent(*leaf, now, latency_);
  actions.push_back(StartLeafCall{.call = id,
                                  .leaf = std::move(leaf),
                                  .max_connections = max_connections,
                                  .sent = now,
                                  .sole_call = sole_call,
                                  .deadline = deadline_});
  return true;
}

void RequestRun::WaitForLeaf(Subrequest& subrequest) {
  const base::TimePoint now = context_.clock.Now();
  if (!subrequest.waiting_since) subrequest.waiting_since = now;
  // A subrequest of a scattering route may wait until the merged answer is due.
  const bool waited_too_long =
      !route_.scatters() && now - *subrequest.waiting_since >=
                                ScaleBy(route_.objective, kLeafWaitShare);
  if (waited_too_long) {
    FailSubrequest(subrequest);
  } else {
    subrequest.retry_at = now + kLeafRetryInterval;
  }
}

bool RequestRun::MayRetry(const Subrequest& subrequest) const {
  return subrequest.MayCallAgain(route_) &&
         context_.selector.HasUnpausedLeaf(QueryFor(subrequest, true));
}

void RequestRun::Retry(Subrequest& subrequest,
                       std::vector<RunAction>& actions) {
  if (subrequest.CountRunningCalls() > 0) return;
  const bool may_retry =
      MayRetry(subrequest) &&
      context_.budget.TrySpend(subrequest.service->name, ExtraCall::kRetry);
  if (!may_retry) {
    FailSubrequest(subrequest);
    return;
  }
  SendCall(subrequest, true, actions);
}

bool RequestRun::AwaitsAnswer() const {
  const auto awaits = [](const Subrequest& subrequest) {
    return subrequest.state == SubrequestState::kWaiting &&
           !subrequest.deferred;
  };
  return std::any_of(subrequests_.begin(), subrequests_.end(), awaits) ||
         std::any_of(groups_.begin(), groups_.end(),
                     [](const RemoteGroup& group) { return group.running; });
}

void RequestRun::Resume(Subrequest& subrequest,
                        std::vector<RunAction>& actions) {
  subrequest.deferred = false;
  if (subrequest.calls.empty()) {
    StartSubrequest(subrequest, repeats_, actions);
  } else {
    Retry(subrequest, actions);
  }
}

void RequestRun::ResumeDeferred(std::vector<RunAction>& actions) {
  for (Subrequest& subrequest : subrequests_) {
    if (finished_ || !subrequest.deferred) continue;
    if (completed_any_) {
      Resume(subrequest, actions);
    } else if (!lost_sole_call_ && AwaitsAnswer()) {
      return;
    } else if (lost_sole_call_ || is_group_) {
      subrequest.deferred = false;
      FailSubrequest(subrequest);
    } else {
      sole_call_ = true;
      Resume(subrequest, actions);
    }
  }
}

bool RequestRun::MayHedge() const {
  return route_.idempotent && route_.attempts > 1 &&
         (!sole_call_ || completed_any_);
}

void RequestRun::Hedge(Subrequest& subrequest,
                       std::vector<RunAction>& actions) {
  if (!MayHedge() || subrequest.calls.empty()) return;
  SubrequestCall& last = subrequest.calls.back();
  const base::TimePoint now = context_.clock.Now();
  if (!last.running || now < last.hedge_at) return;
  if (subrequest.attempts_used + subrequest.CountRunningCalls() >=
      route_.attempts) {
    last.hedge_at = deadline_;
    return;
  }
  last.hedge_at = now + kHedgeRetryInterval;
  const LeafQuery query = QueryFor(subrequest, false);
  const auto leaf = context_.selector.Choose(query);
  if (leaf == nullptr || leaf->BusyTime(now) > TimeLeft()) return;
  if (!context_.budget.TrySpend(subrequest.service->name, ExtraCall::kHedge))
    return;
  SendCall(subrequest, false, actions);
}

base::Duration RequestRun::TimeLeft() const {
  const base::TimePoint now = context_.clock.Now();
  return (now < partial_at_ ? partial_at_ : deadline_) - now;
}

void RequestRun::SkipBusySubrequests() {
  if (may_skip_ == 0) return;
  std::vector<std::pair<base::Duration, Subrequest*>> busy;
  for (Subrequest& subrequest : subrequests_) {
    if (subrequest.service == nullptr) continue;
    const auto leaf = context_.selector.Choose(QueryFor(subrequest, true));
    if (leaf == nullptr) continue;
    const base::Duration time = leaf->BusyTime(context_.clock.Now());
    if (time > TimeLeft()) busy.emplace_back(time, &subrequest);
  }
  std::sort(busy.begin(), busy.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  busy.resize(std::min(busy.size(), may_skip_));
  for (const auto& [time, subrequest] : busy) FailSubrequest(*subrequest);
}

void RequestRun::FailSubrequest(Subrequest& subrequest) {
  subrequest.state = SubrequestState::kFailed;
  ++failed_;
}

}  // namespace berylreach::forward
