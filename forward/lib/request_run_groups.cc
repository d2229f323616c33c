// Groups of shards: groups that other hosts run for this host's request, and
// requests that are themselves a group of another host's request.
#include <algorithm>
#include <optional>
#include <utility>

#include "berylreach/forward/allowance.h"
#include "berylreach/forward/request_run.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// A group without an answer after this many objectives is abandoned. Until
/// then, its host may still collect answers up to the minimum coverage.
constexpr int kGroupTimeoutObjectives = 2;

/// Processing time of both hosts for a group, in addition to the transit times
/// of its messages.
constexpr milliseconds kGroupOverhead{6};

/// Time within which even a busy host reports after the partial answer is due;
/// a host that has not reported by then is considered lost.
constexpr milliseconds kReportMargin{25};

/// Maximum number of hosts named in one log line.
constexpr std::size_t kMaxDescribedHosts = 4;

}  // namespace

base::TimePoint RequestRun::GroupDeadline() const {
  return request_.received + kGroupTimeoutObjectives * route_.objective;
}

milliseconds RequestRun::ExchangeTime(const LeafRecord& host) const {
  const milliseconds round_trip = 2 * TransitTime(host.distance());
  return context_.has_connection(host) ? round_trip : 2 * round_trip;
}

base::TimePoint RequestRun::ReportDeadline() const {
  return partial_at_ + kReportMargin;
}

void RequestRun::Delegate(const std::vector<ShardGroup>& groups) {
  const base::TimePoint now = context_.clock.Now();
  // For each shard, the index in groups_ of its group.
  std::vector<std::optional<std::size_t>> group_of(route_.shards.size());
  for (const ShardGroup& group : groups) {
    if (partial_at_ <= now + ExchangeTime(*group.host) + kGroupOverhead)
      continue;
    for (const std::size_t shard : group.shards)
      group_of[shard] = groups_.size();
    groups_.push_back({.call = context_.next_call(),
                       .host = group.host,
                       .backup = group.backup});
  }
  if (groups_.empty()) return;
  std::vector<Subrequest> own_subrequests;
  for (Subrequest& subrequest : subrequests_) {
    const std::optional<std::size_t> group = group_of[subrequest.shard];
    (group ? groups_[*group].subrequests : own_subrequests)
        .push_back(std::move(subrequest));
  }
  subrequests_ = std::move(own_subrequests);
}

void RequestRun::RestrictToSubset(const ShardSubset& subset) {
  std::erase_if(subrequests_, [&subset](const Subrequest& subrequest) {
    return std::find(subset.shards.begin(), subset.shards.end(),
                     subrequest.shard) == subset.shards.end();
  });
  total_ = subrequests_.size();
  min_answered_ = total_ - std::min(total_, subset.allowed_missing);
  may_skip_ = subset.may_skip;
  repeats_ = subset.repeats;
  partial_at_ = subset.partial_at;
  is_group_ = true;
  // The host that sent the group abandons it at that time.
  deadline_ = std::min(deadline_, GroupDeadline());
}

void RequestRun::StartGroups(std::vector<RunAction>& actions) {
  std::vector<std::size_t> sizes;
  for (const RemoteGroup& group : groups_)
    sizes.push_back(group.subrequests.size());
  sizes.push_back(subrequests_.size());
  const std::vector<std::size_t> allowances =
      DivideAllowance(total_ - min_answered_, sizes, seed_);
  may_skip_ = allowances.back();
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    groups_[i].may_skip = allowances[i];
    SendGroup(groups_[i], actions);
  }
}

void RequestRun::SendGroup(RemoteGroup& group,
                           std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  group.sent = now;
  group.host->OnCallSent(now);
  ++calls_sent_;
  StartGroupCall action{.call = group.call,
                        .host = group.host,
                        .sent = now,
                        .deadline = deadline_};
  for (const Subrequest& subrequest : group.subrequests)
    action.subset.shards.push_back(subrequest.shard);
  action.subset.allowed_missing = total_ - min_answered_;
  action.subset.may_skip = group.may_skip;
  action.subset.partial_at =
      partial_at_ - ExchangeTime(*group.host) - kGroupOverhead;
  action.subset.repeats = group.repeats;
  actions.push_back(std::move(action));
}

RequestRun::RemoteGroup* RequestRun::FindGroup(CallId call) {
  const auto found = std::find_if(
      groups_.begin(), groups_.end(),
      [call](const RemoteGroup& group) { return group.call == call; });
  return found == groups_.end() ? nullptr : &*found;
}

void RequestRun::OnGroupReply(CallId call, GroupReply reply,
                              std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  if (AcceptGroupReply(*group, std::move(reply))) {
    group->running = false;
    failed_ += group->subrequests.size() - group->reply.signatures.size();
  } else {
    HandleGroupLoss(*group, actions);
  }
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::OnGroupProgress(CallId call, GroupReply reply,
                                 std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  if (!AcceptGroupReply(*group, std::move(reply)))
    HandleGroupLoss(*group, actions);
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

void RequestRun::OnGroupFailure(CallId call, GroupFailure failure,
                                std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  switch (failure) {
    case GroupFailure::kDeclined:
      group->running = false;
      RunDeclinedGroup(*group, actions);
      break;
    case GroupFailure::kFailed:
      any_may_have_run_ = true;
      [[fallthrough]];
    case GroupFailure::kRefused:
      group->running = false;
      failed_ += group->subrequests.size() - group->reply.signatures.size();
      break;
    case GroupFailure::kLost:
      HandleGroupLoss(*group, actions);
      break;
  }
  ResumeDeferred(actions);
  FinishIfDecided(actions);
}

bool RequestRun::AcceptGroupReply(RemoteGroup& group, GroupReply reply) {
  const std::size_t answers = reply.signatures.size();
  const std::size_t before = group.reply.signatures.size();
  if (answers > group.subrequests.size() || answers < before) return false;
  any_may_have_run_ = true;
  if (answers > 0) completed_any_ = true;
  answered_ += answers - before;
  group.reply = std::move(reply);
  group.has_reported = true;
  return true;
}

bool RequestRun::MayRepeat(const RemoteGroup& group) const {
  if (group.backup == nullptr || group.repeats || group.has_reported)
    return false;
  if (context_.clock.Now() >= GroupDeadline()) return false;
  return std::all_of(group.subrequests.begin(), group.subrequests.end(),
                     [this](const Subrequest& subrequest) {
                       return subrequest.service != nullptr &&
                              context_.selector.HasAtMostLeaves(
                                  *subrequest.service, route_.attempts);
                     });
}

void RequestRun::HandleGroupLoss(RemoteGroup& group,
                                 std::vector<RunAction>& actions) {
  any_may_have_run_ = true;
  if (MayRepeat(group)) {
    group.call = context_.next_call();
    group.host = std::exchange(group.backup, nullptr);
    group.repeats = true;
    SendGroup(group, actions);
    return;
  }
  group.running = false;
  failed_ += group.subrequests.size() - group.reply.signatures.size();
  lost_group_ = true;
}

void RequestRun::RunDeclinedGroup(RemoteGroup& group,
                                  std::vector<RunAction>& actions) {
  for (Subrequest& declined : std::exchange(group.subrequests, {})) {
    Subrequest& subrequest = subrequests_.emplace_back(std::move(declined));
    if (subrequest.service != nullptr && !group.repeats)
      context_.budget.OnRequest(subrequest.service->name);
    StartSubrequest(subrequest, group.repeats, actions);
  }
}

void RequestRun::AbandonLostGroups(std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  if (now < ReportDeadline()) return;
  const bool past_deadline = now >= GroupDeadline();
  for (RemoteGroup& group : groups_) {
    if (!group.running || (!past_deadline && !MayRepeat(group))) continue;
    actions.push_back(AbandonGroupCall{group.call});
    HandleGroupLoss(group, actions);
  }
}

void RequestRun::Report(std::vector<RunAction>& actions) {
  if (reported_answers_ == answered_) return;
  reported_answers_ = answered_;
  CallerReply reply = Merge();
  actions.push_back(ReportProgress{{.signatures = std::move(reply.signatures),
                                    .records = std::move(reply.reply.body)}});
}

std::string RequestRun::DescribeHosts() const {
  std::string text;
  for (std::size_t i = 0; i < groups_.size() && i < kMaxDescribedHosts; ++i)
    text += (i == 0 ? "" : " ") + groups_[i].host->entry().id;
  return text;
}

}  // namespace berylreach::forward
