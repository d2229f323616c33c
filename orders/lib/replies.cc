// Error codes and messages of the replies to orders.
#include "replies.h"

#include <algorithm>
#include <utility>

namespace berylreach::orders {

using model::ErrorCode;
using model::ExecutionStatus;
using model::LeafOutcome;
using std::chrono::milliseconds;

model::CallerReply Refuse(ErrorCode code, std::string message,
                          ExecutionStatus execution, milliseconds retry_after) {
  return model::Refusal{code, std::move(message), execution, retry_after};
}

model::CallerReply DoneReply(std::string result, std::uint64_t version) {
  model::Answer answer;
  answer.results.push_back({0, std::move(result)});
  answer.version = version;
  answer.coverage.shards_answered = 1;
  answer.coverage.shards_total = 1;
  return answer;
}

model::CallerReply ReplyFromRecord(const model::OrderRecord& record) {
  switch (record.state) {
    case model::OrderState::kDone:
      if (!record.outcome.empty())
        return DoneReply(record.outcome, record.version);
      return Refuse(ErrorCode::kUnavailable,
                    "the order ran, but its result was not kept",
                    ExecutionStatus::kRan, milliseconds{0});
    case model::OrderState::kUnknown:
      return Refuse(ErrorCode::kUpstreamFailed,
                    "the order was sent and its outcome is unknown",
                    ExecutionStatus::kMayHaveRun, milliseconds{0});
    default:
      return Refuse(ErrorCode::kInProgress,
                    "the order was claimed by another host",
                    ExecutionStatus::kMayHaveRun, kInProgressRetryAfter);
  }
}

model::CallerReply RefusalFor(LeafOutcome outcome, milliseconds retry_after) {
  const milliseconds retry = std::max(kMinRetryAfter, retry_after);
  switch (outcome) {
    case LeafOutcome::kShed:
    case LeafOutcome::kOverloaded:
      return Refuse(ErrorCode::kOverloaded, "the upstream is overloaded",
                    ExecutionStatus::kNotRun, retry);
    case LeafOutcome::kBlocked:
      return Refuse(ErrorCode::kRequestBlocked, "the request is blocked",
                    ExecutionStatus::kNotRun, retry);
    case LeafOutcome::kTimedOut:
      return Refuse(ErrorCode::kDeadlineExceeded,
                    "the order was sent and not answered in time",
                    ExecutionStatus::kMayHaveRun, kInProgressRetryAfter);
    case LeafOutcome::kLost:
    case LeafOutcome::kLeafCrashed:
      return Refuse(ErrorCode::kUpstreamFailed,
                    "the upstream failed after the order was sent",
                    ExecutionStatus::kMayHaveRun, milliseconds{0});
    default:
      return Refuse(ErrorCode::kUnavailable, "no upstream took the order",
                    ExecutionStatus::kNotRun, retry);
  }
}

}  // namespace berylreach::orders
