// State machine of one caller request.
#include "berylreach/forward/request_run.h"

#include <algorithm>
#include <utility>

#include "berylreach/base/hash.h"
#include "berylreach/forward/top_records.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

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

/// Most calls of one part that leaves reject without running them.
constexpr std::size_t kMostRejections = 3;

/// Parts described in one log line.
constexpr std::size_t kDescribedParts = 4;

/// Wait advised after a refusal; the time in which a leaf usually returns.
constexpr milliseconds kRetryAfter{400};

base::Duration Share(milliseconds span, double share) {
  return std::chrono::duration_cast<base::Duration>(span * share);
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

const Service* FindService(const Configuration& configuration,
                           const std::string& name) {
  const auto& services = configuration.services;
  const auto found =
      std::find_if(services.begin(), services.end(),
                   [&name](const Service& s) { return s.name == name; });
  return found == services.end() ? nullptr : &*found;
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
  const Configuration& configuration = table_->configuration();
  if (route_.scatters()) {
    parts_.resize(route_.shards.size());
    for (std::size_t i = 0; i < parts_.size(); ++i)
      parts_[i].service = FindService(configuration, route_.shards[i]);
  } else {
    parts_.resize(1);
    parts_[0].service = FindService(configuration, single_service);
  }
  const milliseconds span =
      std::min(request_.patience,
               route_.timeout.count() > 0 ? route_.timeout : request_.patience);
  deadline_ = request_.received + Share(span, kDeadlineShare);
  partial_at_ = request_.received + Share(route_.objective, kPartialShare);
}

void RequestRun::Start(std::vector<RunAction>& actions) {
  std::size_t servable = 0;
  std::size_t responsive = 0;
  for (Part& part : parts_) {
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
  for (Part& part : parts_) {
    if (part.service == nullptr ||
        !context_.selector.HasLeaf(QueryFor(part, true))) {
      FailPart(part);
      continue;
    }
    SendCall(part, true, actions);
  }
  Settle(actions);
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

void RequestRun::Tick(std::vector<RunAction>& actions) {
  if (finished_) return;
  const base::TimePoint now = context_.clock.Now();
  if (now >= deadline_) {
    if (route_.scatters() && IsEnough(answered_)) {
      FinishMerged(actions);
    } else {
      Refuse(RefusalNow() == Refusal::kNotRun ? Refusal::kNotRun
                                              : Refusal::kTimedOut,
             "time of the request is over", actions);
    }
    return;
  }
  for (Part& part : parts_) {
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
  const bool hedges = route_.idempotent && route_.attempts > 1;
  for (const Part& part : parts_) {
    if (part.state != PartState::kWaiting) continue;
    if (part.retry_at) next = std::min(next, *part.retry_at);
    if (!hedges || part.calls.empty()) continue;
    const Call& last = part.calls.back();
    if (last.running && part.attempts_used + 1 < route_.attempts)
      next = std::min(next, last.hedge_at);
  }
  return next;
}

RequestRun::Located RequestRun::Locate(CallId call) {
  for (Part& part : parts_)
    for (Call& entry : part.calls)
      if (entry.id == call) return {&part, &entry};
  return {};
}

bool RequestRun::HasRunningCall(const Part& part) const {
  return std::any_of(part.calls.begin(), part.calls.end(),
                     [](const Call& call) { return call.running; });
}

bool RequestRun::MayCallAgain(const Part& part) const {
  if (part.rejected > kMostRejections) return false;
  if (!route_.idempotent) return part.attempts_used == 0;
  return part.attempts_used < route_.attempts;
}

LeafQuery RequestRun::QueryFor(const Part& part, bool any) const {
  return {.service = part.service,
          .regions = &route_.regions,
          .tried = &part.tried,
          .seed = seed_,
          .any = any};
}

bool RequestRun::SendCall(Part& part, bool any,
                          std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  auto leaf = context_.selector.Choose(QueryFor(part, any));
  if (leaf == nullptr) {
    if (!HasRunningCall(part)) part.retry_at = now + kNoLeafPause;
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

void RequestRun::Retry(Part& part, std::vector<RunAction>& actions) {
  if (HasRunningCall(part)) return;
  const bool again =
      MayCallAgain(part) && context_.selector.HasLeaf(QueryFor(part, true)) &&
      context_.budget.TrySpend(part.service->name, ExtraCall::kRetry);
  if (!again) {
    FailPart(part);
    return;
  }
  SendCall(part, true, actions);
}

void RequestRun::Hedge(Part& part, std::vector<RunAction>& actions) {
  if (!route_.idempotent || part.calls.empty()) return;
  Call& last = part.calls.back();
  const base::TimePoint now = context_.clock.Now();
  if (!last.running || now < last.hedge_at) return;
  std::size_t running = 0;
  for (const Call& call : part.calls) running += call.running ? 1 : 0;
  if (part.attempts_used + running >= route_.attempts) {
    last.hedge_at = deadline_;
    return;
  }
  last.hedge_at = now + kHedgePause;
  const LeafQuery query = QueryFor(part, false);
  if (context_.selector.Choose(query) == nullptr) return;
  if (!context_.budget.TrySpend(part.service->name, ExtraCall::kHedge)) return;
  SendCall(part, false, actions);
}

void RequestRun::FailPart(Part& part) {
  part.state = PartState::kFailed;
  ++failed_;
}

std::string RequestRun::DescribeUnanswered() const {
  const base::TimePoint now = context_.clock.Now();
  std::string text;
  std::size_t described = 0;
  for (const Part& part : parts_) {
    if (part.state == PartState::kAnswered) continue;
    if (++described > kDescribedParts) break;
    if (!text.empty()) text += "; ";
    text += part.service == nullptr ? "unknown service" : part.service->name;
    text += ":";
    if (part.calls.empty()) text += " no leaf";
    for (const Call& call : part.calls) {
      const auto age =
          std::chrono::duration_cast<milliseconds>(now - call.sent).count();
      text += " " + call.leaf->entry().id;
      text += call.running ? " unanswered " : " failed ";
      text += std::to_string(age);
    }
  }
  return text;
}

bool RequestRun::IsEnough(std::size_t parts) const {
  if (!route_.scatters()) return parts > 0;
  return parts > 0 &&
         static_cast<double>(parts) / static_cast<double>(parts_.size()) >=
             route_.least_coverage;
}

void RequestRun::Settle(std::vector<RunAction>& actions) {
  if (finished_) return;
  if (!route_.scatters()) {
    if (parts_[0].state != PartState::kWaiting) FinishSingle(actions);
    return;
  }
  if (!IsEnough(parts_.size() - failed_)) {
    Refuse(RefusalNow(), "too few shards can answer", actions);
    return;
  }
  const bool whole = answered_ + failed_ == parts_.size();
  if (whole || (IsEnough(answered_) && context_.clock.Now() >= partial_at_))
    FinishMerged(actions);
}

void RequestRun::FinishMerged(std::vector<RunAction>& actions) {
  finished_ = true;
  CallerReply reply;
  reply.reply.status = 200;
  reply.reply.reason = "OK";
  std::vector<std::string_view> bodies;
  for (const Part& part : parts_) {
    if (part.state != PartState::kAnswered) continue;
    bodies.push_back(part.reply->body);
    reply.signatures.push_back(part.reply->signature);
  }
  reply.missing = parts_.size() - reply.signatures.size();
  reply.reply.body =
      TopRecords(bodies, context_.record_bytes, route_.top_records);
  actions.push_back(FinishRequest{std::move(reply)});
}

void RequestRun::FinishSingle(std::vector<RunAction>& actions) {
  Part& part = parts_[0];
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
  reply.retry_after = kRetryAfter / 2 + milliseconds(spread);
  actions.push_back(FinishRequest{std::move(reply)});
}

Refusal RequestRun::RefusalNow() const {
  if (any_may_have_run_) return Refusal::kMayHaveRun;
  for (const Part& part : parts_)
    if (HasRunningCall(part)) return Refusal::kMayHaveRun;
  return Refusal::kNotRun;
}

}  // namespace berylreach::forward
