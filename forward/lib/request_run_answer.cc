// Final answers: merging, refusals and retry advice.
#include <algorithm>
#include <utility>

#include "berylreach/forward/request_run.h"
#include "berylreach/forward/top_records.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using SubrequestState = Subrequest::State;

/// Mean of the retry delay advised with a refusal: the usual time until a leaf
/// is available again.
constexpr milliseconds kRetryAfter{400};
/// Retry delay advised after the loss of a host, which the next attempt avoids.
constexpr milliseconds kLostGroupRetryAfter{20};

/// Maximum number of subrequests described in one log line.
constexpr std::size_t kMaxDescribedSubrequests = 4;

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void RequestRun::FinishIfDecided(std::vector<RunAction>& actions) {
  if (finished_) return;
  if (!route_.scatters()) {
    if (subrequests_[0].state != SubrequestState::kWaiting)
      FinishSingle(actions);
    return;
  }
  if (!IsEnough(total_ - failed_)) {
    Refuse(RefusalNow(Refusal::kMayHaveRun), "too few shards can answer",
           actions);
    return;
  }
  const bool partial_due = context_.clock.Now() >= partial_at_;
  if (answered_ + failed_ == total_ ||
      (!is_group_ && partial_due && IsEnough(answered_))) {
    FinishMerged(actions);
  } else if (is_group_ && partial_due) {
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
  for (const Subrequest& subrequest : subrequests_) {
    if (subrequest.state != SubrequestState::kAnswered) continue;
    bodies.push_back(subrequest.reply->body);
    reply.signatures.push_back(subrequest.reply->signature);
  }
  reply.missing_shards = total_ - reply.signatures.size();
  reply.reply.body =
      TopRecords(bodies, context_.record_bytes, route_.top_records);
  return reply;
}

void RequestRun::FinishMerged(std::vector<RunAction>& actions) {
  finished_ = true;
  WithdrawCalls();
  actions.push_back(FinishRequest{Merge()});
}

void RequestRun::FinishSingle(std::vector<RunAction>& actions) {
  Subrequest& subrequest = subrequests_[0];
  std::optional<LeafReply>& reply =
      subrequest.state == SubrequestState::kAnswered ? subrequest.reply
                                                     : subrequest.failure;
  if (!reply) {
    Refuse(RefusalNow(Refusal::kMayHaveRun), "no leaf answered", actions);
    return;
  }
  // With these statuses, callers assume that no leaf has run the request.
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
  // Spreads the delay by request, so that callers refused together do not retry
  // together.
  const auto spread = static_cast<std::int64_t>(
      seed_ % static_cast<std::uint64_t>(kRetryAfter.count()));
  reply.retry_after = lost_group_ ? kLostGroupRetryAfter
                                  : kRetryAfter / 2 + milliseconds(spread);
  if (const auto pause = PauseLeft(); pause.count() > 0)
    reply.retry_after = pause + milliseconds(spread);
  actions.push_back(FinishRequest{std::move(reply)});
}

milliseconds RequestRun::PauseLeft() const {
  std::vector<base::Duration> pauses;
  std::size_t servable = total_ - subrequests_.size();
  for (const Subrequest& subrequest : subrequests_) {
    const auto left =
        subrequest.service == nullptr
            ? base::Duration::max()
            : context_.selector.PauseLeft(
                  {.service = subrequest.service, .regions = &regions_});
    if (left == base::Duration::zero()) {
      ++servable;
    } else if (left != base::Duration::max()) {
      pauses.push_back(left);
    }
  }
  if (IsEnough(servable) || servable + pauses.size() < min_answered_)
    return milliseconds(0);
  std::sort(pauses.begin(), pauses.end());
  return std::chrono::ceil<milliseconds>(pauses[min_answered_ - servable - 1]);
}

bool RequestRun::WithdrawCalls() {
  bool all = true;
  for (const Subrequest& subrequest : subrequests_)
    for (const SubrequestCall& call : subrequest.calls)
      if (call.running && !context_.withdraw(call.id)) all = false;
  for (const RemoteGroup& group : groups_)
    if (group.running && !context_.withdraw(group.call)) all = false;
  return all;
}

Refusal RequestRun::RefusalNow(Refusal if_may_have_run) {
  const bool withdrawn = WithdrawCalls();
  return withdrawn && !any_may_have_run_ ? Refusal::kNotRun : if_may_have_run;
}

std::string RequestRun::DescribeUnanswered() const {
  const base::TimePoint now = context_.clock.Now();
  std::string text;
  std::size_t described = 0;
  const auto add = [&text, &described](const std::string& description) {
    if (++described > kMaxDescribedSubrequests) return;
    if (!text.empty()) text += "; ";
    text += description;
  };
  for (const RemoteGroup& group : groups_) {
    const std::size_t missing =
        group.subrequests.size() - group.reply.signatures.size();
    if (missing == 0) continue;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - group.sent).count();
    add(group.host->entry().id + ": " + std::to_string(missing) + " shards " +
        (group.running ? "unanswered " : "failed ") + std::to_string(age));
  }
  for (const Subrequest& subrequest : subrequests_)
    if (subrequest.state != SubrequestState::kAnswered)
      add(subrequest.Describe(now));
  return text;
}

}  // namespace berylreach::forward
