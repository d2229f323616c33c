// Construction of the replies to orders.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/model/caller_reply.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/order_record.h"

namespace berylreach::orders {

/// Retry time of orders in progress. After this time, the outcome is usually
/// recorded.
inline constexpr std::chrono::milliseconds kInProgressRetryAfter{1000};

/// Minimum retry time of an order that was refused and may be repeated.
inline constexpr std::chrono::milliseconds kMinRetryAfter{100};

model::CallerReply Refuse(model::ErrorCode code, std::string message,
                          model::ExecutionStatus execution,
                          std::chrono::milliseconds retry_after);

/// The reply to an order that ran and returned `result`.
model::CallerReply DoneReply(std::string result, std::uint64_t version);

/// The reply to a repeat of an order recorded as kDone, kUnknown, or kClaimed
/// by another incarnation.
model::CallerReply ReplyFromRecord(const model::OrderRecord& record);

/// The refusal of an order that was sent and ended with `outcome`, which is not
/// kOk.
model::CallerReply RefusalFor(model::LeafOutcome outcome,
                              std::chrono::milliseconds retry_after);

}  // namespace berylreach::orders
