// The event time line of one host.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "berylreach/config/parsed.h"
#include "berylreach/model/names.h"
#include "berylreach/model/timeline_event.h"

namespace berylreach::config {

/// Answer of a host to `GET /v1/timeline?after=N`: its events with a sequence
/// above N.
struct HostTimeline {
  model::HostName host;
  /// In ascending sequence.
  std::vector<model::TimelineEvent> events;

  friend bool operator==(const HostTimeline&, const HostTimeline&) = default;
};

/// JSON body of a time line; times in Unix microseconds.
std::string EncodeHostTimeline(const HostTimeline& timeline);

/// Reads the form of EncodeHostTimeline. Unknown members are ignored.
Parsed<HostTimeline> ParseHostTimeline(std::string_view body);

}  // namespace berylreach::config
