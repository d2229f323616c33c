// Action: an event for the timeline.
#pragma once

#include <string>

namespace berylreach::membership {

/// Records an event in the timeline; the fields are those of
/// model::TimelineEvent.
struct RecordEvent {
  std::string type;
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::membership
