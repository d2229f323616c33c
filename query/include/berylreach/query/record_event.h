// Action: add an event to the timeline.
#pragma once

#include <string>

namespace berylreach::query {

/// A change of state that operators see in the timeline. The core adds sequence
/// number and time.
struct RecordEvent {
  /// Event type, such as "query_replanned".
  std::string type;
  /// The leaf, service or fingerprint concerned.
  std::string subject;
  /// Further information for operators; may be empty.
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::query
