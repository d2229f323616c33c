// What a host observes about a leaf that has not answered a call, and what that
// says about the leaf's process.
#pragma once

#include <chrono>
#include <string>

#include "berylreach/base/clock.h"

namespace berylreach::forward {

/// An observation of a leaf incarnation.
enum class LeafSign {
  /// Nothing listens at its address.
  kConnectionRefused,
  /// Another incarnation uses its address or its id: it rejected a call to this
  /// one, named itself in a health response, or is listed by discovery.
  kReplaced,
  /// Discovery no longer lists it.
  kUnlisted,
  /// It has answered a call or a health check.
  kAnswered,
};

struct LeafObservation {
  /// Id of the incarnation.
  std::string leaf;
  LeafSign sign = LeafSign::kAnswered;
  /// When the observed state was current: for an answer, the time at which its
  /// call was sent.
  base::TimePoint at{};
  /// The leaf was stopping as planned, so that its end has a known cause.
  bool was_leaving = false;
};

/// The fate of a leaf's process after it has left a call unanswered.
enum class LeafFate { kUnknown, kAlive, kCrashed };

/// Time within which discovery lists a leaf that was restarted at once. Until
/// then an answer does not show that the process is still the same, because a
/// leaf may keep its id.
inline constexpr std::chrono::milliseconds kRestartListedWithin{1200};

/// Returns what an observation says about a leaf that left a call unanswered at
/// `lost_at`. A connection that is reset, times out or is accepted shows
/// nothing: the link may be cut, the process slow or frozen, or another process
/// may listen at the address.
LeafFate FateShownBy(const LeafObservation& observation,
                     base::TimePoint lost_at);

}  // namespace berylreach::forward
