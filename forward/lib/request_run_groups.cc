// Groups of shards: those that other hosts run for a request, and a request
// that is one group of another host's.
#include <algorithm>
#include <optional>
#include <utility>

#include "berylreach/forward/allowance.h"
#include "berylreach/forward/request_run.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// A group without an answer after this many objectives is given up. Before,
/// its host may still collect the least coverage.
constexpr int kGroupObjectives = 2;

/// Time that two hosts need for a group beside that of its messages.
constexpr milliseconds kGroupMargin{6};

/// Time after which the report of a living host that is due at the partial
/// answer has come, also from a busy one.
constexpr milliseconds kReportMargin{25};

/// Hosts named in one log line.
constexpr std::size_t kDescribedHosts = 4;

}  // namespace

base::TimePoint RequestRun::GroupEnd() const {
  return request_.received + kGroupObjectives * route_.objective;
}

milliseconds RequestRun::ExchangeTime(const LeafRecord& host) const {
  const milliseconds round_trip = 2 * TransitTime(host.distance());
  return context_.has_connection(host) ? round_trip : 2 * round_trip;
}

base::TimePoint RequestRun::ReportsDue() const {
  return partial_at_ + kReportMargin;
}

void RequestRun::Delegate(const std::vector<ShardGroup>& groups) {
  const base::TimePoint now = context_.clock.Now();
  // Position in groups_ of the group that has the shard.
  std::vector<std::optional<std::size_t>> group_of(route_.shards.size());
  for (const ShardGroup& group : groups) {
    if (partial_at_ <= now + ExchangeTime(*group.host) + kGroupMargin) continue;
    for (const std::size_t shard : group.shards)
      group_of[shard] = groups_.size();
    groups_.push_back({.call = context_.next_call(),
                       .host = group.host,
                       .backup = group.backup});
  }
  if (groups_.empty()) return;
  std::vector<ShardPart> own;
  for (ShardPart& part : parts_) {
    const std::optional<std::size_t> group = group_of[part.shard];
    (group ? groups_[*group].parts : own).push_back(std::move(part));
  }
  parts_ = std::move(own);
}

void RequestRun::RestrictToSubset(const ShardSubset& subset) {
  std::erase_if(parts_, [&subset](const ShardPart& part) {
    return std::find(subset.shards.begin(), subset.shards.end(), part.shard) ==
           subset.shards.end();
  });
  total_ = parts_.size();
  least_parts_ = total_ - std::min(total_, subset.allowed_missing);
  may_skip_ = subset.may_skip;
  repeats_ = subset.repeats;
  partial_at_ = subset.partial_at;
  narrowed_ = true;
  // The other host gives the group up by then.
  deadline_ = std::min(deadline_, GroupEnd());
}

void RequestRun::StartGroups(std::vector<RunAction>& actions) {
  std::vector<std::size_t> sizes;
  for (const RemoteGroup& group : groups_) sizes.push_back(group.parts.size());
  sizes.push_back(parts_.size());
  const std::vector<std::size_t> allowances =
      DivideAllowance(total_ - least_parts_, sizes, seed_);
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
  for (const ShardPart& part : group.parts)
    action.subset.shards.push_back(part.shard);
  action.subset.allowed_missing = total_ - least_parts_;
  action.subset.may_skip = group.may_skip;
  action.subset.partial_at =
      partial_at_ - ExchangeTime(*group.host) - kGroupMargin;
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
  if (TakeGroupReply(*group, std::move(reply))) {
    group->running = false;
    failed_ += group->parts.size() - group->reply.signatures.size();
  } else {
    LoseGroup(*group, actions);
  }
  ResumeHeld(actions);
  Settle(actions);
}

void RequestRun::OnGroupProgress(CallId call, GroupReply reply,
                                 std::vector<RunAction>& actions) {
  RemoteGroup* group = FindGroup(call);
  if (group == nullptr || finished_ || !group->running) return;
  if (!TakeGroupReply(*group, std::move(reply))) LoseGroup(*group, actions);
  ResumeHeld(actions);
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
    case GroupFailure::kFailed:
      any_may_have_run_ = true;
      [[fallthrough]];
    case GroupFailure::kRefused:
      group->running = false;
      failed_ += group->parts.size() - group->reply.signatures.size();
      break;
    case GroupFailure::kLost:
      LoseGroup(*group, actions);
      break;
  }
  ResumeHeld(actions);
  Settle(actions);
}

bool RequestRun::TakeGroupReply(RemoteGroup& group, GroupReply reply) {
  const std::size_t answers = reply.signatures.size();
  const std::size_t before = group.reply.signatures.size();
  if (answers > group.parts.size() || answers < before) return false;
  any_may_have_run_ = true;
  if (answers > 0) completed_any_ = true;
  answered_ += answers - before;
  group.reply = std::move(reply);
  group.heard = true;
  return true;
}

bool RequestRun::MayRepeat(const RemoteGroup& group) const {
  if (group.backup == nullptr || group.repeats || group.heard) return false;
  if (context_.clock.Now() >= GroupEnd()) return false;
  return std::all_of(
      group.parts.begin(), group.parts.end(), [this](const ShardPart& part) {
        return part.service != nullptr &&
               context_.selector.HasAtMost(*part.service, route_.attempts);
      });
}

void RequestRun::LoseGroup(RemoteGroup& group,
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
  failed_ += group.parts.size() - group.reply.signatures.size();
  lost_group_ = true;
}

void RequestRun::RunDeclined(RemoteGroup& group,
                             std::vector<RunAction>& actions) {
  for (ShardPart& declined : std::exchange(group.parts, {})) {
    ShardPart& part = parts_.emplace_back(std::move(declined));
    if (part.service != nullptr && !group.repeats)
      context_.budget.OnRequest(part.service->name);
    StartPart(part, group.repeats, actions);
  }
}

void RequestRun::AbandonLostGroups(std::vector<RunAction>& actions) {
  const base::TimePoint now = context_.clock.Now();
  if (now < ReportsDue()) return;
  const bool over = now >= GroupEnd();
  for (RemoteGroup& group : groups_) {
    if (!group.running || (!over && !MayRepeat(group))) continue;
    actions.push_back(AbandonGroupCall{group.call});
    LoseGroup(group, actions);
  }
}

void RequestRun::Report(std::vector<RunAction>& actions) {
  if (reported_ == answered_) return;
  reported_ = answered_;
  CallerReply reply = Merge();
  actions.push_back(ReportProgress{{.signatures = std::move(reply.signatures),
                                    .records = std::move(reply.reply.body)}});
}

std::string RequestRun::DescribeHosts() const {
  std::string text;
  for (std::size_t i = 0; i < groups_.size() && i < kDescribedHosts; ++i)
    text += (i == 0 ? "" : " ") + groups_[i].host->entry().id;
  return text;
}

}  // namespace berylreach::forward
