// Action: add an event to the timeline.
#pragma once

#include <string>

namespace berylreach::rollout {

/// An event for the timeline; the fields are those of model::TimelineEvent.
struct RecordEvent {
  std::string type;
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::rollout
