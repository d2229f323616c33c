// Time constants of rollout.
#pragma once

#include <chrono>
#include <cstddef>

namespace berylreach::rollout {

/// Time after which an unanswered PartsRequest goes to another source.
inline constexpr std::chrono::milliseconds kPeerTimeout{250};
/// Time after which an unanswered ReadPart counts as failed.
inline constexpr std::chrono::milliseconds kStoreTimeout{2000};
/// Least time between a failed store read and the next attempt.
inline constexpr std::chrono::milliseconds kStoreRetryInterval{500};
/// Most peers asked before the store.
inline constexpr std::size_t kMaxPeersAsked = 2;

}  // namespace berylreach::rollout
