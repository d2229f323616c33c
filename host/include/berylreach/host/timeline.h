// The bounded event timeline of one host.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/timeline_event.h"

namespace berylreach::host {

/// Keeps the latest events in memory for operators. Thread-safe.
class Timeline {
 public:
  /// Keeps at most `capacity` events and drops older ones.
  Timeline(std::size_t capacity, const base::Clock& clock);

  /// Appends an event with the next sequence number (the first is 1) and the
  /// current time, and returns it. `subject` is what the event concerns, such
  /// as a leaf or a zone.
  model::TimelineEvent Record(std::string type, std::string subject,
                              std::string detail);

  /// Returns the kept events with a sequence number above `sequence`, oldest
  /// first.
  std::vector<model::TimelineEvent> After(std::uint64_t sequence) const;

 private:
  const base::Clock& clock_;
  mutable std::mutex mutex_;
  std::uint64_t last_sequence_ = 0;
  boost::circular_buffer<model::TimelineEvent> events_;
};

}  // namespace berylreach::host
