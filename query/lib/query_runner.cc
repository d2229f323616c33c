// Event handlers of a query runner.
#include "berylreach/query/query_runner.h"

#include <algorithm>
#include <utility>

#include "berylreach/quarantine/fingerprint.h"

namespace berylreach::query {

QueryRunner::QueryRunner(const base::Clock& clock, QueryContext& context,
                         model::CallerRequest request, HedgePolicy policy)
    : clock_(clock),
      context_(context),
      request_(std::move(request)),
      policy_(policy),
      fingerprint_(quarantine::FingerprintOf(request_)) {}

void QueryRunner::Start(std::vector<Action>& out) {
  if (RefuseInvalid(out)) return;
  Plan(out);
}

void QueryRunner::OnLeafReply(const model::LeafReply& reply,
                              std::vector<Action>& out) {
  const auto found = calls_.find(reply.id);
  if (found == calls_.end()) return;
  const ActiveCall call = found->second;
  calls_.erase(found);
  if (call.cancelled) {
    OnCancelledCallReply(call, reply, out);
    return;
  }
  std::erase(shards_[call.shard_index].active_calls, reply.id);
  context_.Leaves().OnCallEnded(call.leaf);
  if (!Matches(call, reply)) {
    Record("mismatched_reply", call.leaf.value, "", out);
    may_have_run_ = true;
    Recover(shards_[call.shard_index], model::MissingReason::kFailed,
            RetryCost::kBudgeted, out);
  } else if (reply.outcome == model::LeafOutcome::kOk) {
    OnResult(call, reply, out);
  } else {
    OnFailure(call, reply, out);
  }
  TryFinish(out);
}

void QueryRunner::OnMemberRemoved(const model::HostName& host,
                                  std::vector<Action>& out) {
  ReplaceCalls(CallsTo(host, /*include_exclusive=*/true), out);
}

void QueryRunner::OnPeerDisconnected(const model::HostName& host,
                                     std::vector<Action>& out) {
  const auto lost = CallsTo(host, /*include_exclusive=*/false);
  // `host` can no longer report whether the canary crashed its leaf, so the
  // disconnection counts as a possible crash.
  if (canary_phase_ && !lost.empty()) ++unproven_failures_;
  ReplaceCalls(lost, out);
}

std::vector<model::CallId> QueryRunner::CallsTo(const model::HostName& host,
                                                bool include_exclusive) const {
  std::vector<model::CallId> ids;
  for (const auto& [id, call] : calls_) {
    if (call.to == host && (include_exclusive || !call.exclusive))
      ids.push_back(id);
  }
  // Sorted because the iteration order of an unordered map is unspecified, and
  // the order of the actions must be deterministic.
  std::sort(ids.begin(), ids.end());
  return ids;
}

void QueryRunner::ReplaceCalls(const std::vector<model::CallId>& lost,
                               std::vector<Action>& out) {
  for (const model::CallId& id : lost) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    const ActiveCall call = found->second;
    calls_.erase(found);
    if (call.cancelled) continue;
    std::erase(shards_[call.shard_index].active_calls, id);
    context_.Leaves().OnCallEnded(call.leaf);
    may_have_run_ = true;
    Recover(shards_[call.shard_index], model::MissingReason::kFailed,
            RetryCost::kFree, out);
  }
  TryFinish(out);
}

void QueryRunner::Tick(std::vector<Action>& out) {
  const base::TimePoint now = clock_.Now();
  if (finished_) {
    if (done()) calls_.clear();
    return;
  }
  if (now >= request_.deadline) {
    GiveUpOpenShards(model::MissingReason::kTimedOut);
    TryFinish(out);
    return;
  }
  SendDueHedges(out);
}

void QueryRunner::Cancel(std::vector<Action>& out) {
  if (finished_) return;
  CancelAllCalls(out);
  finished_ = true;
  finished_at_ = clock_.Now();
}

std::optional<base::TimePoint> QueryRunner::NextWakeup() const {
  if (done()) return std::nullopt;
  if (finished_) return finished_at_ + kRefundWait;
  if (!MayHedge()) return request_.deadline;
  return std::min(request_.deadline, next_hedge_);
}

bool QueryRunner::done() const {
  if (!finished_) return false;
  return calls_.empty() || clock_.Now() >= finished_at_ + kRefundWait;
}

quarantine::TrustLevel QueryRunner::CurrentTrustLevel() const {
  return context_.quarantine().TrustLevelOf(fingerprint_);
}

void QueryRunner::Record(std::string type, std::string subject,
                         std::string detail, std::vector<Action>& out) const {
  out.push_back(
      RecordEvent{std::move(type), std::move(subject), std::move(detail)});
}

}  // namespace berylreach::query
