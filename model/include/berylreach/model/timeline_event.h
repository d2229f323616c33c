// An entry of the event time line.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace berylreach::model {

/// One event of a host. Hosts keep the latest events in memory; the command
/// line merges them.
struct TimelineEvent {
  /// Rises by one with each event of the host process.
  std::uint64_t sequence = 0;
  std::chrono::system_clock::time_point at;
  /// Event type, such as "lease_lost".
  std::string type;
  /// What the event is about: a leaf, a zone, a host or a document version.
  std::string subject;
  std::string detail;

  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

}  // namespace berylreach::model
