// What a host observes about a leaf that has not answered a call, and what that
// says about the leaf's process.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/view_currency.h"

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
  /// A process with its id has answered a call or a health check. A leaf that
  /// has started again may have the id that it had.
  kAnswered,
};

struct LeafObservation {
  /// Id of the incarnation.
  std::string leaf;
  /// Start time of the incarnation that discovery listed under the id; 0 if it
  /// is not known.
  std::uint64_t started_unix_ms = 0;
  LeafSign sign = LeafSign::kAnswered;
  /// When the observed state was current: for an answer, the time at which its
  /// call was sent.
  base::TimePoint at{};
  /// The leaf was stopping as planned, so that its end has a known cause.
  bool was_leaving = false;
};

/// The fate of a leaf's process after it has left a call unanswered.
enum class LeafFate {
  kUnknown,
  /// A process with the leaf's id runs. Whether it is the one that was called
  /// shows when discovery has had the time to list its start (IsSameProcess).
  kAnswers,
  kAlive,
  kCrashed,
};

/// A call that a leaf left unanswered.
struct UnansweredCall {
  /// Start time of the incarnation that was called; 0 if it is not known.
  std::uint64_t started_unix_ms = 0;
  base::TimePoint lost_at{};
};

/// Returns what an observation of a leaf says about the process that left
/// `call` unanswered. A connection that is reset, times out or is accepted
/// shows nothing: the link may be cut, the process slow or frozen, or another
/// process may listen at the address.
LeafFate FateShownBy(const LeafObservation& observation,
                     const UnansweredCall& call);

/// Whether the process that answered under a leaf's id at `answered_at` is the
/// one that discovery lists, given that the view of discovery lists no other
/// one. A process that has started under a former id is listed with its start
/// within `restart_listed_within`, if it and this host reach the store.
bool IsSameProcess(base::TimePoint answered_at, const ViewCurrency& view,
                   std::chrono::milliseconds restart_listed_within);

}  // namespace berylreach::forward
