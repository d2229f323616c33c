// Judges observations of leaves.
#include "berylreach/forward/leaf_observation.h"

#include <algorithm>

namespace berylreach::forward {
namespace {

bool IsOtherStart(std::uint64_t a, std::uint64_t b) {
  return a != 0 && b != 0 && a != b;
}

}  // namespace

LeafFate FateShownBy(const LeafObservation& observation,
                     const UnansweredCall& call) {
  // The end of a leaf that stops as planned is not a crash, and its calls need
  // no other explanation.
  if (observation.was_leaving) return LeafFate::kAlive;
  if (IsOtherStart(observation.started_unix_ms, call.started_unix_ms))
    return LeafFate::kCrashed;
  switch (observation.sign) {
    case LeafSign::kConnectionRefused:
    case LeafSign::kReplaced:
    case LeafSign::kUnlisted:
      return LeafFate::kCrashed;
    case LeafSign::kAnswered:
      break;
  }
  return observation.at > call.lost_at ? LeafFate::kAnswers
                                       : LeafFate::kUnknown;
}

bool IsSameProcess(base::TimePoint answered_at, const ViewCurrency& view,
                   std::chrono::milliseconds restart_listed_within) {
  // What a leaf writes while the store is away is listed after its return.
  return std::max(answered_at, view.since) + restart_listed_within <=
         view.until;
}

}  // namespace berylreach::forward
