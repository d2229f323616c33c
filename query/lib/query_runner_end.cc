// Coverage and the final reply of a query runner.
#include <algorithm>
#include <string>
#include <utility>

#include "berylreach/query/query_runner.h"

namespace berylreach::query {
namespace {

using model::ErrorCode;
using model::MissingReason;

// Tolerates floating-point rounding of `minimum_coverage` times the number of
// shards, such as 0.95 of 20 shards.
constexpr double kCoverageTolerance = 1e-9;

}  // namespace

void QueryRunner::MarkMissing(ShardProgress& shard, MissingReason reason) {
  shard.missing = reason;
  --open_shards_;
  ++missing_shards_;
}

void QueryRunner::GiveUpOpenShards(MissingReason reason) {
  for (ShardProgress& shard : shards_) {
    if (shard.Open()) MarkMissing(shard, reason);
  }
}

bool QueryRunner::CoverageOutOfReach() const {
  const auto total = static_cast<double>(shards_.size());
  const double reachable = total - missing_shards_;
  return reachable < request_.minimum_coverage * total - kCoverageTolerance;
}

void QueryRunner::TryFinish(std::vector<Action>& out) {
  if (finished() || shards_.empty()) return;
  if (open_shards_ > 0 && !CoverageOutOfReach()) return;
  CancelAllCalls(out);
  FinishWith(BuildReply(), out);
}

model::CallerReply QueryRunner::BuildReply() const {
  const bool none_answered = missing_shards_ + open_shards_ == shards_.size();
  if (none_answered || CoverageOutOfReach()) return BuildRefusal();
  return BuildAnswer();
}

model::Answer QueryRunner::BuildAnswer() const {
  model::Answer answer;
  answer.version = snapshot_.version;
  answer.coverage.shards_total = static_cast<std::uint32_t>(shards_.size());
  for (const ShardProgress& shard : shards_) {
    if (shard.result) {
      answer.results.push_back({shard.shard, *shard.result});
      ++answer.coverage.shards_answered;
      continue;
    }
    answer.coverage.missing.push_back({shard.shard, *shard.missing});
  }
  return answer;
}

ErrorCode QueryRunner::FailureCode() const {
  const auto count = [&](MissingReason reason) {
    return std::count_if(shards_.begin(), shards_.end(),
                         [&](const auto& s) { return s.missing == reason; });
  };
  if (count(MissingReason::kOverloaded) > 0) return ErrorCode::kOverloaded;
  if (count(MissingReason::kTimedOut) > 0) return ErrorCode::kDeadlineExceeded;
  if (count(MissingReason::kNoReplica) == missing_shards_) {
    return ErrorCode::kUnavailable;
  }
  return ErrorCode::kUpstreamFailed;
}

model::Refusal QueryRunner::BuildRefusal() const {
  const auto answered = std::count_if(
      shards_.begin(), shards_.end(),
      [](const ShardProgress& shard) { return shard.result.has_value(); });
  model::Refusal refusal;
  refusal.code =
      answered == 0 ? FailureCode() : ErrorCode::kInsufficientCoverage;
  refusal.message = std::to_string(answered) + " of " +
                    std::to_string(shards_.size()) + " shards answered, " +
                    std::to_string(missing_shards_) + " are missing";
  refusal.execution = ExecutionSoFar();
  refusal.retry_after =
      overload_retry_after_.count() > 0 ? overload_retry_after_ : kRetryAfter;
  return refusal;
}

model::ExecutionStatus QueryRunner::ExecutionSoFar() const {
  if (ran_) return model::ExecutionStatus::kRan;
  return may_have_run_ ? model::ExecutionStatus::kMayHaveRun
                       : model::ExecutionStatus::kNotRun;
}

void QueryRunner::Refuse(ErrorCode code, std::string message,
                         std::chrono::milliseconds retry_after,
                         std::vector<Action>& out) {
  if (finished()) return;
  // Calls are cancelled first, because a cancelled call may have run and
  // ExecutionSoFar() must count it.
  CancelAllCalls(out);
  FinishWith(
      model::Refusal{code, std::move(message), ExecutionSoFar(), retry_after},
      out);
}

void QueryRunner::RefuseBlocked(std::chrono::milliseconds retry_after,
                                std::vector<Action>& out) {
  const auto expires_in = std::chrono::ceil<std::chrono::milliseconds>(
      context_.quarantine().ExpiresIn(fingerprint_));
  // A retry time of 0 would tell the caller that a repeat can never succeed.
  // `expires_in` is 0 until this host has received the update of the host that
  // blocked the request.
  const auto remaining = std::max(retry_after, expires_in);
  Record("request_blocked", std::to_string(fingerprint_), "", out);
  Refuse(ErrorCode::kRequestBlocked,
         "the request is blocked because leaves died while running it",
         remaining.count() > 0 ? remaining : kRetryAfter, out);
}

std::chrono::milliseconds QueryRunner::RetryAfterCrash() const {
  if (!last_crash_) return std::chrono::milliseconds(0);
  const auto left =
      *last_crash_ + quarantine::Quarantine::kPropagationTime - clock_.Now();
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(left));
}

void QueryRunner::FinishWith(model::CallerReply reply,
                             std::vector<Action>& out) {
  if (auto* refusal = std::get_if<model::Refusal>(&reply)) {
    refusal->retry_after = std::max(refusal->retry_after, RetryAfterCrash());
  }
  finished_ = true;
  finished_at_ = clock_.Now();
  out.push_back(Finish{std::move(reply)});
}

}  // namespace berylreach::query
