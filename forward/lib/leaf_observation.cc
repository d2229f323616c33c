// Judges observations of leaves.
#include "berylreach/forward/leaf_observation.h"

namespace berylreach::forward {

LeafFate FateShownBy(const LeafObservation& observation,
                     base::TimePoint lost_at) {
  // The end of a leaf that stops as planned is not a crash, and its calls need
  // no other explanation.
  if (observation.was_leaving) return LeafFate::kAlive;
  switch (observation.sign) {
    case LeafSign::kConnectionRefused:
    case LeafSign::kReplaced:
    case LeafSign::kUnlisted:
      return LeafFate::kCrashed;
    case LeafSign::kAnswered:
      break;
  }
  return observation.at > lost_at + kRestartListedWithin ? LeafFate::kAlive
                                                         : LeafFate::kUnknown;
}

}  // namespace berylreach::forward
