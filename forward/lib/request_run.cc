// Calls, retries and hedges of one caller request.
#include "berylreach/forward/request_run.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using PartState = ShardPart::State;

/// Fraction of the request's time after which its final answer is sent, so that
/// the answer reaches the caller in time.
constexpr double kDeadlineShare = 0.96;

/// Fraction of the objective after which a partial answer is sent. The rest is
/// for the transit to and from the caller.
constexpr double kPartialShare = 0.88;

/// Fraction of the objective for which a request to one leaf waits for a
/// callable leaf. If all leaves are cold or full for longer, the caller should
/// retry later.
constexpr double kLeafWaitShare = 0.25;

/// Delay before a part without a callable leaf looks for one again.
constexpr milliseconds kLeafRetryInterval{10};
/// Delay before a hedge that found no leaf or no budget is tried again.
constexpr milliseconds kHedgeRetryInterval{20};

base::Duration ScaleBy(milliseconds span, double share) {
  return std::chrono::duration_cast<base::Duration>(span * share);
}

/// Returns the minimum number of parts, at least one, that reaches the
/// `coverage`.
std::size_t MinParts(std::size_t total, double coverage) {
  for (std::size_t parts = 1; parts < total; ++parts) {
    if (static_cast<double>(parts) / static_cast<double>(total) >= coverage)
      return parts;
  }
  return total;
}

}  // namespace

RequestRun::RequestRun(RunContext& context,
                       std::shared_ptr<const RouteTable> table,
                       const Route& route, const std::string& single_service,
                       CallerRequest request)
    : context_(context),
      table_(std::move(table)),
      route_(route),
      request_(std::move(request)),
      seed_(base::Hash64(request_.id)) {
  total_ = route_.scatters() ? route_.shards.size() : 1;
  parts_.resize(total_);
  for (std::size_t i = 0; i < total_; ++i) {
    parts_[i].shard = i;
    parts_[i].service = table_->FindService(route_.scatters() ? route_.shards[i]
                                                              : single_service);
  }
  if (route_.scatters()) min_parts_ = MinParts(total_, route_.minimum_coverage);
  may_skip_ = total_ - min_parts_;
  const milliseconds span = std::min(
      request_.caller_timeout,
      route_.timeout.count() > 0 ? route_.timeout : request_.caller_timeout);
  deadline_ = request_.received + ScaleBy(span, kDeadlineShare);
  partial_at_ = request_.received + ScaleBy(route_.objective, kPartialShare);
}

void RequestRun::Start(std::vector<RunAction>& actions) {
  // Parts of groups count as servable: their hosts know the leaves better and
  // refuse the group if necessary.
  std::size_t servable = total_ - parts_.size();
  std::size_t responsive = servable;
  for (ShardPart& part : parts_) {
    if (part.service == nullptr) continue;
    if (!repeats_) context_.budget.OnRequest(part.service->name);
    const LeafQuery query = QueryFor(part, true);
    if (context_.selector.HasLeaf(query)) ++servable;
    if (context_.selector.HasResponsiveLeaf(query)) ++responsive;
  }
  if (!IsEnough(servable)) {
    Refuse(Refusal::kNotRun, "no leaf serves the request", actions);
    return;
  }
  // Calls that still wait for the silent leaves will show when they recover.
  if (!IsEnough(responsive)) {
    Refuse(Refusal::kNotRun, "the leaves do not answer", actions);
    return;
  }
  if (!groups_.empty()) StartGroups(actions);
  SkipBusyParts();
  for (ShardPart& part : parts_) {
    if (part.state != PartState::kWaiting) continue;
    if (probe_first_) {
      part.held = true;
    } else {
      StartPart(part, repeats_, actions);
    }
  }
  ResumeHeld(actions);
  FinishIfDecided(actions);
}

void RequestRun::StartPart(ShardPart& part, bool repeats,
                           std::vector<RunAction>& actions) {
  if (part.service == nullptr ||
      !context_.selector.HasLeaf(QueryFor(part, true)) ||
      (repeats &&
       !context_.budget.TrySpend(part.service->name, ExtraCall::kRetry))) {
    FailPart(part);
    return;
  }
  SendCall(part, true, actions);
}

void RequestRun::OnReply(CallId call, LeafReply reply,
                         std::vector<RunAction>& actions) {
  const auto [part, entry] = FindCall(call);
  if (part == nullptr || finished_ || !entry->running) return;
  entry->running = false;
  const bool rejected = reply.not_run || reply.wrong_incarnation;
  if (rejected) {
    ++part->rejected;
  } else {
    ++part->attempts_used;
    any_may_have_run_ = true;
    completed_any_ = true;
  }
  if (part->state != PartState::kWaiting) {
    ResumeHeld(actions);
    FinishIfDecided(actions);
    return;
  }
  if (!rejected && reply.success() && !reply.signature.empty()) {
    part->reply = std::move(reply);
    part->state = PartState::kAnswered;
    ++answered_;
    ResumeHeld(actions);
    FinishIfDecided(actions);
    return;
  }
  // A success without a signature does not come from the leaf and is not passed
  // on.
  if (!rejected && !reply.success() && !reply.signature.empty())
    part->failure = std::move(reply);
  Retry(*part, actions);
  ResumeHeld(actions);
  FinishIfDecided(actions);
}

void RequestRun::OnFailure(CallId call, CallFailure failure,
                           std::vector<RunAction>& actions) {
  const auto [part, entry] = FindCall(call);
  if (part == nullptr || finished_ || !entry->running) return;
  entry->running = false;
  if (failure == CallFailure::kNotSent || failure == CallFailure::kWithdrawn) {
    ++part->rejected;
  } else {
    ++part->attempts_used;
    any_may_have_run_ = true;
  }
  if (part->state == PartState::kWaiting) {
    const bool lost = failure == CallFailure::kMayHaveRun && !completed_any_;
    lost_sole_call_ = lost_sole_call_ || (lost && sole_call_);
    if (lost && MayRetry(*part)) {
      part->held = part->CountRunningCalls() == 0;
    } else {
      Retry(*part, actions);
    }
  }
  ResumeHeld(actions);
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
  for (ShardPart& part : parts_) {
    if (part.state != PartState::kWaiting || part.held) continue;
    if (part.retry_at && *part.retry_at <= now) {
      part.retry_at.reset();
      SendCall(part, true, actions);
    } else {
      Hedge(part, actions);
    }
  }
  ResumeHeld(actions);
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
  for (const ShardPart& part : parts_) {
    if (part.state != PartState::kWaiting || part.held) continue;
    if (part.retry_at) next = std::min(next, *part.retry_at);
    if (!hedges || part.calls.empty()) continue;
    const PartCall& last = part.calls.back();
    if (last.running && part.attempts_used + 1 < route_.attempts)
      next = std::min(next, last.hedge_at);
  }
  return next;
}

RequestRun::FoundCall RequestRun::FindCall(CallId call) {
  for (ShardPart& part : parts_)
    for (PartCall& entry : part.calls)
      if (entry.id == call) return {&part, &entry};
  return {};
}

LeafQuery RequestRun::QueryFor(const ShardPart& part,
                               bool allow_unhealthy) const {
  return {.service = part.service,
          .regions = &route_.regions,
          .tried = &part.tried,
          .seed = seed_,
          .allow_unhealthy = allow_unhealthy};
}

bool RequestRun::SendCall(ShardPart& part, bool allow_unhealthy,
                          std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  auto leaf = context_.selector.Choose(QueryFor(part, allow_unhealthy));
  if (leaf == nullptr) {
    if (part.CountRunningCalls() == 0) WaitForLeaf(part);
    return false;
  }
  part.waiting_since.reset();
  part.tried.push_back(leaf->entry().id);
  const CallId id = context_.next_call();
  part.calls.push_back(
      {id, leaf, now, now + leaf->HedgeDelay(now), /*running=*/true});
  ++calls_sent_;
  const std::size_t connections =
      context_.selector.ConnectionShare(*part.service);
  context_.selector.OnSent(*leaf, now);
  actions.push_back(StartLeafCall{.call = id,
                                  .leaf = std::move(leaf),
                                  .connections = connections,
                                  .sent = now,
                                  .sole_call = sole_call_ && !completed_any_,
                                  .deadline = deadline_});
  return true;
}

void RequestRun::WaitForLeaf(ShardPart& part) {
  const base::TimePoint now = context_.clock.Now();
  if (!part.waiting_since) part.waiting_since = now;
  // A part of a merged answer may wait until the merged answer is due.
  const bool waited_too_long =
      !route_.scatters() &&
      now - *part.waiting_since >= ScaleBy(route_.objective, kLeafWaitShare);
  if (waited_too_long) {
    FailPart(part);
  } else {
    part.retry_at = now + kLeafRetryInterval;
  }
}

bool RequestRun::MayRetry(const ShardPart& part) const {
  return part.MayCallAgain(route_) &&
         context_.selector.HasLeaf(QueryFor(part, true));
}

void RequestRun::Retry(ShardPart& part, std::vector<RunAction>& actions) {
  if (part.CountRunningCalls() > 0) return;
  const bool may_retry =
      MayRetry(part) &&
      context_.budget.TrySpend(part.service->name, ExtraCall::kRetry);
  if (!may_retry) {
    FailPart(part);
    return;
  }
  SendCall(part, true, actions);
}

bool RequestRun::AwaitsAnswer() const {
  const auto awaits = [](const ShardPart& part) {
    return part.state == PartState::kWaiting && !part.held;
  };
  return std::any_of(parts_.begin(), parts_.end(), awaits) ||
         std::any_of(groups_.begin(), groups_.end(),
                     [](const RemoteGroup& group) { return group.running; });
}

void RequestRun::Resume(ShardPart& part, std::vector<RunAction>& actions) {
  part.held = false;
  if (part.calls.empty()) {
    StartPart(part, repeats_, actions);
  } else {
    Retry(part, actions);
  }
}

void RequestRun::ResumeHeld(std::vector<RunAction>& actions) {
  for (ShardPart& part : parts_) {
    if (finished_ || !part.held) continue;
    if (completed_any_) {
      Resume(part, actions);
    } else if (!lost_sole_call_ && AwaitsAnswer()) {
      return;
    } else if (lost_sole_call_ || is_group_) {
      part.held = false;
      FailPart(part);
    } else {
      sole_call_ = true;
      Resume(part, actions);
    }
  }
}

bool RequestRun::MayHedge() const {
  return route_.idempotent && route_.attempts > 1 &&
         (!sole_call_ || completed_any_);
}

void RequestRun::Hedge(ShardPart& part, std::vector<RunAction>& actions) {
  if (!MayHedge() || part.calls.empty()) return;
  PartCall& last = part.calls.back();
  const base::TimePoint now = context_.clock.Now();
  if (!last.running || now < last.hedge_at) return;
  if (part.attempts_used + part.CountRunningCalls() >= route_.attempts) {
    last.hedge_at = deadline_;
    return;
  }
  last.hedge_at = now + kHedgeRetryInterval;
  const LeafQuery query = QueryFor(part, false);
  const auto leaf = context_.selector.Choose(query);
  if (leaf == nullptr || leaf->BusyTime(now) > TimeLeft()) return;
  if (!context_.budget.TrySpend(part.service->name, ExtraCall::kHedge)) return;
  SendCall(part, false, actions);
}

base::Duration RequestRun::TimeLeft() const {
  const base::TimePoint now = context_.clock.Now();
  return (now < partial_at_ ? partial_at_ : deadline_) - now;
}

void RequestRun::SkipBusyParts() {
  if (may_skip_ == 0) return;
  std::vector<std::pair<base::Duration, ShardPart*>> busy;
  for (ShardPart& part : parts_) {
    if (part.service == nullptr) continue;
    const auto leaf = context_.selector.Choose(QueryFor(part, true));
    if (leaf == nullptr) continue;
    const base::Duration time = leaf->BusyTime(context_.clock.Now());
    if (time > TimeLeft()) busy.emplace_back(time, &part);
  }
  std::sort(busy.begin(), busy.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  busy.resize(std::min(busy.size(), may_skip_));
  for (const auto& [time, part] : busy) FailPart(*part);
}

void RequestRun::FailPart(ShardPart& part) {
  part.state = PartState::kFailed;
  ++failed_;
}

}  // namespace berylreach::forward
