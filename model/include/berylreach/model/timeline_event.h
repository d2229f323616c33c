// An entry of the event timeline.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace berylreach::model {

/// One event of a host. Each host keeps its latest events in memory; the
/// command-line tool merges those of all hosts.
struct TimelineEvent {
  /// Increases by one with each event of the host process.
  std::uint64_t sequence = 0;
  std::chrono::system_clock::time_point time;
  /// Event type, such as "lease_lost".
  std::string type;
  /// The leaf, zone, host or document version that the event concerns.
  std::string subject;
  std::string detail;

  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

}  // namespace berylreach::model
