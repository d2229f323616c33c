// Encodes and parses the event timeline of one host.
#include "berylreach/config/host_timeline.h"

#include <chrono>

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

constexpr std::size_t kMaxEvents = 100'000;

json::object ToJson(const model::TimelineEvent& event) {
  const auto at = std::chrono::floor<std::chrono::microseconds>(
      event.time.time_since_epoch());
  return {{"sequence", event.sequence},
          {"at_unix_us", at.count()},
          {"type", event.type},
          {"subject", event.subject},
          {"detail", event.detail}};
}

model::TimelineEvent ReadEvent(const json::value& value,
                               const std::string& location,
                               base::Findings& findings) {
  ObjectReader reader(value, location, findings);
  model::TimelineEvent event;
  event.sequence = reader.Uint64("sequence");
  event.time = std::chrono::system_clock::time_point(
      std::chrono::microseconds(reader.Int64(
          "at_unix_us", 0, static_cast<std::int64_t>(kMaxExactInteger))));
  event.type = reader.NonEmptyText("type", kMaxHostBodyBytes);
  event.subject = reader.Text("subject", kMaxHostBodyBytes);
  event.detail = reader.Text("detail", kMaxHostBodyBytes);
  return event;
}

}  // namespace

std::string EncodeHostTimeline(const HostTimeline& timeline) {
  json::array events;
  events.reserve(timeline.events.size());
  for (const model::TimelineEvent& event : timeline.events)
    events.push_back(ToJson(event));
  return json::serialize(json::object{{"host", timeline.host.value},
                                      {"events", std::move(events)}});
}

Parsed<HostTimeline> ParseHostTimeline(std::string_view body) {
  Parsed<HostTimeline> result;
  const auto value = ParseJson(body, kMaxHostBodyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  HostTimeline timeline;
  timeline.host.value = reader.NonEmptyText("host", kMaxNameBytes);
  reader.ForEachElement(
      "events", 0, kMaxEvents,
      [&](const json::value& item, const std::string& location) {
        timeline.events.push_back(ReadEvent(item, location, result.findings));
      });
  if (result.findings.empty()) result.value = std::move(timeline);
  return result;
}

}  // namespace berylreach::config
