// State machine of one caller request.
#include "berylreach/forward/request_run.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/forward/top_records.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using PartState = ShardPart::State;

/// Share of a request's time after which its final answer is sent, so that it
/// reaches the caller before the time is over.
constexpr double kDeadlineShare = 0.96;

/// Share of the objective after which a partial answer is sent. The rest is
/// for the ways to and from the caller.
constexpr double kPartialShare = 0.88;

/// Pause before a part without a free leaf looks for one again.
constexpr milliseconds kNoLeafPause{10};
/// Pause before a hedge that found no leaf or budget is tried again.
constexpr milliseconds kHedgePause{20};

/// Parts described in one log line.
constexpr std::size_t kDescribedParts = 4;

/// Wait advised after a refusal; the time in which a leaf usually returns.
constexpr milliseconds kRetryAfter{400};
/// Wait advised after the loss of a host, which the next attempt avoids.
constexpr milliseconds kLostGroupRetryAfter{20};

/// A group without an answer after this many objectives is given up. Before,
/// its host may still collect the least coverage.
constexpr int kGroupObjectives = 2;
/// Time that two hosts need for a group beside that of its messages.
constexpr milliseconds kGroupMargin{6};
/// Hosts named in one log line.
constexpr std::size_t kDescribedHosts = 4;

base::Duration Share(milliseconds span, double share) {
  return std::chrono::duration_cast<base::Duration>(span * share);
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// The smallest number of at least one part whose share is the least coverage.
std::size_t LeastParts(std::size_t total, double coverage) {
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
  if (route_.scatters())
    least_parts_ = LeastParts(total_, route_.least_coverage);
  const milliseconds span =
      std::min(request_.patience,
               route_.timeout.count() > 0 ? route_.timeout : request_.patience);
  deadline_ = request_.received + Share(span, kDeadlineShare);
  partial_at_ = request_.received + Share(route_.objective, kPartialShare);
}

void RequestRun::Delegate(const std::vector<ShardGroup>& groups) {
  const base::TimePoint now = context_.clock.Now();
  for (const ShardGroup& group : groups) {
    const milliseconds travel = 2 * TransitTime(group.host->distance());
    if (partial_at_ <= now + travel + kGroupMargin) continue;
    RemoteGroup remote{.call = context_.next_call(), .host = group.host};
    for (const std::size_t shard : group.shards) {
      const auto found = std::find_if(
          parts_.begin(), parts_.end(),
          [shard](const ShardPart& part) { return part.shard == shard; });
      if (found == parts_.end()) continue;
      remote.parts.push_back(std::move(*found));
      parts_.erase(found);
    }
    groups_.push_back(std::move(remote));
  }
}

void RequestRun::Narrow(const ShardSubset& subset) {
  std::erase_if(parts_, [&subset](const ShardPart& part) {
    return std::find(subset.shards.begin(), subset.shards.end(), part.shard) ==
           subset.shards.end();
  });
  total_ = parts_.size();
  least_parts_ = total_ - std::min(total_, subset.allowed_missing);
  partial_at_ = subset.partial_at;
  narrowed_ = true;
  // The other host gives the group up by then.
  deadline_ = std::min(deadline_,
                       request_.received + kGroupObjectives * route_.objective);
}

void RequestRun::Start(std::vector<RunAction>& actions) {
  // Groups are refused by their hosts, which know the leaves better.
  std::size_t servable = total_ - parts_.size();
  std::size_t responsive = servable;
  for (ShardPart& part : parts_) {
    if (part.service == nullptr) continue;
    context_.budget.OnRequest(part.service->name);
    const LeafQuery query = QueryFor(part, true);
    if (context_.selector.HasLeaf(query)) ++servable;
    if (context_.selector.HasResponsiveLeaf(query)) ++responsive;
  }
  if (!IsEnough(servable)) {
    Refuse(Refusal::kNotRun, "no leaf serves the request", actions);
    return;
  }
  // The calls that wait for the silent leaves show their return.
  if (!IsEnough(responsive)) {
    Refuse(Refusal::kNotRun, "the leaves do not answer", actions);
    return;
  }
  StartGroups(actions);
  for (ShardPart& part : parts_) StartPart(part, actions);
  Settle(actions);
}

void RequestRun::StartGroups(std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  for (RemoteGroup& group : groups_) {
    group.sent = now;
    group.host->OnCallSent(now);
    ++calls_sent_;
    StartGroupCall action{.call = group.call,
                          .host = group.host,
                          .sent = now,
                          .deadline = deadline_};
    for (const ShardPart& part : group.parts)
      action.subset.shards.push_back(part.shard);
    action.subset.allowed_missing = total_ - least_parts_;
    action.subset.partial_at =
        partial_at_ - 2 * TransitTime(group.host->distance()) - kGroupMargin;
    actions.push_back(std::move(action));
  }
}

void RequestRun::StartPart(ShardPart& part, std::vector<RunAction>& actions) {
  if (part.service == nullptr ||
      !context_.selector.HasLeaf(QueryFor(part, true))) {
    FailPart(part);
    return;
  }
  SendCall(part, true, actions);
}

void RequestRun::OnReply(CallId call, LeafReply reply,
                         std::vector<RunAction>& actions) {
  const auto [part, entry] = Locate(call);
  if (part == nullptr || finished_ || !entry->running) return;
  entry->running = false;
  const bool rejected = reply.not_run || reply.other_leaf;
  if (rejected) {
    ++part->rejected;
  } else {
    ++part->attempts_used;
    any_may_have_run_ = true;
  }
  if (part->state != PartState::kWaiting) return;
  if (!rejected && reply.success() && !reply.signature.empty()) {
    part->reply = std::move(reply);
    part->state = PartState::kAnswered;
    ++answered_;
    Settle(actions);
    return;
  }
  // A success without a signature is no answer of the leaf; it is not passed
  // on.
  if (!rejected && !reply.success() && !reply.signature.empty())
    part->failure = std::move(reply);
  Retry(*part, actions);
  Settle(actions);
}

void RequestRun::OnFailure(CallId call, CallFailure failure,
                           std::vector<RunAction>& actions) {
  const auto [part, entry] = Locate(call);
  if (part == nullptr || finished_ || !entry->running) return;
  entry->running = false;
  if (failure == CallFailure::kNotSent) {
    ++part->rejected;
  } else {
    ++part->attempts_used;
    any_may_have_run_ = true;
  }
  if (part->state != PartState::kWaiting) return;
  Retry(*part, actions);
  Settle(actions);
}

bool RequestRun::TakeGroupReply(RemoteGroup& group, GroupReply reply) {
  const std::size_t answers = reply.signatures.size();
  const std::size_t before = group.reply.signatures.size();
  if (answers > group.parts.size() || answers < before) return false;
  any_may_have_run_ = true;
  answered_ += answers - before;
  group.reply = std::move(reply);
  return true;
}

void RequestRun::LoseGroup(RemoteGroup& group) {
  group.running = false;
  failed_ += group.parts.size() - group.reply.signatures.size();
  any_may_have_run_ = true;
  lost_group_ = true;
}

void RequestRun::OnGroupReply(CallId call, GroupReply reply,
                              std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  if (TakeGroupReply(*group, std::move(reply))) {
    group->running = false;
    failed_ += group->parts.size() - group->reply.signatures.size();
  } else {
    LoseGroup(*group);
  }
  Settle(actions);
}

void RequestRun::OnGroupProgress(CallId call, GroupReply reply,
                                 std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  if (!TakeGroupReply(*group, std::move(reply))) LoseGroup(*group);
  Settle(actions);
}

void RequestRun::OnGroupFailure(CallId call, GroupFailure failure,
                                std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  switch (failure) {
    case GroupFailure::kDeclined:
      group->running = false;
      RunDeclined(*group, actions);
      break;
    case GroupFailure::kRefused:
      group->running = false;
      failed_ += group->parts.size();
      break;
    case GroupFailure::kLost:
      LoseGroup(*group);
      break;
  }
  Settle(actions);
}

void RequestRun::RunDeclined(RemoteGroup& group,
                             std::vector<RunAction>& actions) {
  for (ShardPart& declined : std::exchange(group.parts, {})) {
    ShardPart& part = parts_.emplace_back(std::move(declined));
    if (part.service != nullptr) context_.budget.OnRequest(part.service->name);
    StartPart(part, actions);
  }
}

void RequestRun::AbandonLostGroups(std::vector<RunAction>& actions) {
  const base::TimePoint lost_at =
      request_.received + kGroupObjectives * route_.objective;
  if (context_.clock.Now() < lost_at) return;
  for (RemoteGroup& group : groups_) {
    if (!group.running) continue;
    actions.push_back(AbandonGroupCall{group.call});
    LoseGroup(group);
  }
}

void RequestRun::Tick(std::vector<RunAction>& actions) {
  if (finished_) return;
  const base::TimePoint now = context_.clock.Now();
  if (now >= deadline_) {
    if (route_.scatters() && (narrowed_ || IsEnough(answered_))) {
      FinishMerged(actions);
    } else {
      Refuse(RefusalNow() == Refusal::kNotRun ? Refusal::kNotRun
                                              : Refusal::kTimedOut,
             "time of the request is over", actions);
    }
    return;
  }
  AbandonLostGroups(actions);
  for (ShardPart& part : parts_) {
    if (part.state != PartState::kWaiting) continue;
    if (part.retry_at && *part.retry_at <= now) {
      part.retry_at.reset();
      SendCall(part, true, actions);
    } else {
      Hedge(part, actions);
    }
  }
  Settle(actions);
}

base::TimePoint RequestRun::NextWakeup() const {
  base::TimePoint next = deadline_;
  const base::TimePoint now = context_.clock.Now();
  if (route_.scatters() && partial_at_ > now)
    next = std::min(next, partial_at_);
  const bool waits_for_group =
      std::any_of(groups_.begin(), groups_.end(),
                  [](const RemoteGroup& group) { return group.running; });
  if (waits_for_group) {
    next =
        std::min(next, request_.received + kGroupObjectives * route_.objective);
  }
  const bool hedges = route_.idempotent && route_.attempts > 1;
  for (const ShardPart& part : parts_) {
    if (part.state != PartState::kWaiting) continue;
    if (part.retry_at) next = std::min(next, *part.retry_at);
    if (!hedges || part.calls.empty()) continue;
    const PartCall& last = part.calls.back();
    if (last.running && part.attempts_used + 1 < route_.attempts)
      next = std::min(next, last.hedge_at);
  }
  return next;
}

RequestRun::Located RequestRun::Locate(CallId call) {
  for (ShardPart& part : parts_)
    for (PartCall& entry : part.calls)
      if (entry.id == call) return {&part, &entry};
  return {};
}

RequestRun::RemoteGroup* RequestRun::FindGroup(CallId call) {
  const auto found = std::find_if(
      groups_.begin(), groups_.end(),
      [call](const RemoteGroup& group) { return group.call == call; });
  return found == groups_.end() ? nullptr : &*found;
}

LeafQuery RequestRun::QueryFor(const ShardPart& part, bool any) const {
  return {.service = part.service,
          .regions = &route_.regions,
          .tried = &part.tried,
          .seed = seed_,
          .any = any};
}

bool RequestRun::SendCall(ShardPart& part, bool any,
                          std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  auto leaf = context_.selector.Choose(QueryFor(part, any));
  if (leaf == nullptr) {
    if (part.CountRunningCalls() == 0) part.retry_at = now + kNoLeafPause;
    return false;
  }
  part.tried.push_back(leaf->entry().id);
  const CallId id = context_.next_call();
  part.calls.push_back(
      {id, leaf, now, now + leaf->HedgeDelay(now), /*running=*/true});
  ++calls_sent_;
  const std::size_t connections =
      context_.selector.ConnectionShare(*part.service);
  context_.selector.OnSent(*leaf, now);
  actions.push_back(
      StartLeafCall{id, std::move(leaf), connections, now, deadline_});
  return true;
}

void RequestRun::Retry(ShardPart& part, std::vector<RunAction>& actions) {
  if (part.CountRunningCalls() > 0) return;
  const bool again =
      part.MayCallAgain(route_) &&
      context_.selector.HasLeaf(QueryFor(part, true)) &&
      context_.budget.TrySpend(part.service->name, ExtraCall::kRetry);
  if (!again) {
    FailPart(part);
    return;
  }
  SendCall(part, true, actions);
}

void RequestRun::Hedge(ShardPart& part, std::vector<RunAction>& actions) {
  if (!route_.idempotent || part.calls.empty()) return;
  PartCall& last = part.calls.back();
  const base::TimePoint now = context_.clock.Now();
  if (!last.running || now < last.hedge_at) return;
  if (part.attempts_used + part.CountRunningCalls() >= route_.attempts) {
    last.hedge_at = deadline_;
    return;
  }
  last.hedge_at = now + kHedgePause;
  const LeafQuery query = QueryFor(part, false);
  if (context_.selector.Choose(query) == nullptr) return;
  if (!context_.budget.TrySpend(part.service->name, ExtraCall::kHedge)) return;
  SendCall(part, false, actions);
}

void RequestRun::FailPart(ShardPart& part) {
  part.state = PartState::kFailed;
  ++failed_;
}

std::string RequestRun::DescribeUnanswered() const {
  const base::TimePoint now = context_.clock.Now();
  std::string text;
  std::size_t described = 0;
  const auto add = [&text, &described](const std::string& description) {
    if (++described > kDescribedParts) return;
    if (!text.empty()) text += "; ";
    text += description;
  };
  for (const RemoteGroup& group : groups_) {
    const std::size_t missing =
        group.parts.size() - group.reply.signatures.size();
    if (missing == 0) continue;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - group.sent).count();
    add(group.host->entry().id + ": " + std::to_string(missing) + " shards " +
        (group.running ? "unanswered " : "failed ") + std::to_string(age));
  }
  for (const ShardPart& part : parts_)
    if (part.state != PartState::kAnswered) add(part.Describe(now));
  return text;
}

std::string RequestRun::DescribeHosts() const {
  std::string text;
  for (std::size_t i = 0; i < groups_.size() && i < kDescribedHosts; ++i)
    text += (i == 0 ? "" : " ") + groups_[i].host->entry().id;
  return text;
}

void RequestRun::Settle(std::vector<RunAction>& actions) {
  if (finished_) return;
  if (!route_.scatters()) {
    if (parts_[0].state != PartState::kWaiting) FinishSingle(actions);
    return;
  }
  if (!IsEnough(total_ - failed_)) {
    Refuse(RefusalNow(), "too few shards can answer", actions);
    return;
  }
  const bool partial = context_.clock.Now() >= partial_at_;
  if (answered_ + failed_ == total_ ||
      (!narrowed_ && partial && IsEnough(answered_))) {
    FinishMerged(actions);
  } else if (narrowed_ && partial) {
    Report(actions);
  }
}

CallerReply RequestRun::Merge() const {
  CallerReply reply;
  reply.reply.status = 200;
  reply.reply.reason = "OK";
  std::vector<std::string_view> bodies;
  for (const RemoteGroup& group : groups_) {
    bodies.push_back(group.reply.records);
    reply.signatures.insert(reply.signatures.end(),
                            group.reply.signatures.begin(),
                            group.reply.signatures.end());
  }
  for (const ShardPart& part : parts_) {
    if (part.state != PartState::kAnswered) continue;
    bodies.push_back(part.reply->body);
    reply.signatures.push_back(part.reply->signature);
  }
  reply.missing = total_ - reply.signatures.size();
  reply.reply.body =
      TopRecords(bodies, context_.record_bytes, route_.top_records);
  return reply;
}

void RequestRun::Report(std::vector<RunAction>& actions) {
  if (reported_ == answered_) return;
  reported_ = answered_;
  CallerReply reply = Merge();
  actions.push_back(ReportProgress{{.signatures = std::move(reply.signatures),
                                    .records = std::move(reply.reply.body)}});
}

void RequestRun::FinishMerged(std::vector<RunAction>& actions) {
  finished_ = true;
  actions.push_back(FinishRequest{Merge()});
}

void RequestRun::FinishSingle(std::vector<RunAction>& actions) {
  ShardPart& part = parts_[0];
  std::optional<LeafReply>& reply =
      part.state == PartState::kAnswered ? part.reply : part.failure;
  if (!reply) {
    Refuse(RefusalNow(), "no leaf answered", actions);
    return;
  }
  // Callers take these statuses as a promise that nothing has run.
  if (!route_.idempotent && PromisesNotRun(reply->status)) {
    Refuse(Refusal::kMayHaveRun, "the leaf failed", actions);
    return;
  }
  finished_ = true;
  actions.push_back(FinishRequest{{.reply = std::move(*reply)}});
}

void RequestRun::Refuse(Refusal refusal, std::string cause,
                        std::vector<RunAction>& actions) {
  finished_ = true;
  CallerReply reply;
  reply.refusal = refusal;
  reply.cause = std::move(cause);
  // Spread by request, so that callers that were refused together do not come
  // back together.
  const auto spread = static_cast<std::int64_t>(
      seed_ % static_cast<std::uint64_t>(kRetryAfter.count()));
  reply.retry_after = lost_group_ ? kLostGroupRetryAfter
                                  : kRetryAfter / 2 + milliseconds(spread);
  actions.push_back(FinishRequest{std::move(reply)});
}

Refusal RequestRun::RefusalNow() const {
  if (any_may_have_run_) return Refusal::kMayHaveRun;
  for (const ShardPart& part : parts_)
    if (part.CountRunningCalls() > 0) return Refusal::kMayHaveRun;
  for (const RemoteGroup& group : groups_)
    if (group.running) return Refusal::kMayHaveRun;
  return Refusal::kNotRun;
}

}  // namespace berylreach::forward
