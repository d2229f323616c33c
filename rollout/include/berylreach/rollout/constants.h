// Timeouts and limits of document rollout.
#pragma once

#include <chrono>
#include <cstddef>

namespace berylreach::rollout {

/// Time after which an unanswered PartsRequest is given up and another source
/// is used.
inline constexpr std::chrono::milliseconds kPeerTimeout{250};
/// Time after which an unanswered ReadPart counts as failed.
inline constexpr std::chrono::milliseconds kStoreTimeout{2000};
/// Minimum time between a failed store read and the next attempt.
inline constexpr std::chrono::milliseconds kStoreRetryInterval{500};
/// Maximum number of requests to peers without a useful reply before the store
/// is read.
inline constexpr std::size_t kMaxPeerRequests = 2;

}  // namespace berylreach::rollout
