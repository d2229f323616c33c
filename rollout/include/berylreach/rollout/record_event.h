// Action: an entry of the time line.
#pragma once

#include <string>

namespace berylreach::rollout {

/// An event for the time line; fields as in model::TimelineEvent.
struct RecordEvent {
  std::string type;
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::rollout
