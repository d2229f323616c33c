// Action: add an entry to the time line.
#pragma once

#include <string>

namespace berylreach::query {

/// A change of state worth the time line; core adds sequence and time.
struct RecordEvent {
  /// Event type, such as "query_replanned".
  std::string type;
  /// The leaf, service or fingerprint concerned.
  std::string subject;
  std::string detail;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

}  // namespace berylreach::query
