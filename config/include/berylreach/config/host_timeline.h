// The event timeline of one host.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/parsed.h"
#include "berylreach/model/names.h"
#include "berylreach/model/timeline_event.h"

namespace berylreach::config {

/// The answer of a host to `GET /v1/timeline?after=N`: its events with a
/// sequence number above N.
struct HostTimeline {
  model::HostName host;
  /// Events in ascending order of sequence number.
  std::vector<model::TimelineEvent> events;

  friend bool operator==(const HostTimeline&, const HostTimeline&) = default;
};

/// JSON body of a timeline. Times are in Unix microseconds.
std::string EncodeHostTimeline(const HostTimeline& timeline);

/// Parses a body encoded by EncodeHostTimeline. Ignores unknown members.
Parsed<HostTimeline> ParseHostTimeline(std::string_view body);

}  // namespace berylreach::config
