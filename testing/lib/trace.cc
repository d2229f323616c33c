// Readable trace of the events of a World.
#include "berylreach/testing/trace.h"

#include <chrono>
#include <map>
#include <string>
#include <variant>

#include "berylreach/config/caller_reply_codec.h"
#include "berylreach/model/error_code.h"

namespace berylreach::testing {
namespace {

std::string Describe(const model::CallerReply& reply) {
  const auto* refusal = std::get_if<model::Refusal>(&reply);
  if (refusal == nullptr) return "answered";
  return std::string(model::ToString(refusal->code)) + " " +
         std::string(config::ToString(refusal->execution)) + ": " +
         refusal->message;
}

}  // namespace

void WriteTrace(const World& world, std::ostream& out) {
  std::multimap<base::TimePoint, std::string> lines;
  for (const WorldEvent& event : world.events()) {
    lines.emplace(event.at, event.host + " " + event.type + " " +
                                event.subject + " " + event.detail);
  }
  for (const LeafRun& run : world.runs()) {
    if (run.kind != model::RequestKind::kOrder) continue;
    lines.emplace(run.at, run.leaf.value + " runs \"" + run.key + "\"");
  }
  for (const CallerRecord& record : world.records()) {
    if (record.request.kind != model::RequestKind::kOrder) continue;
    const std::string name = "request " +
                             std::to_string(record.request.id.counter) + " \"" +
                             record.request.key + "\" at " + record.host.value;
    lines.emplace(record.sent_at, name + " asked");
    if (record.reply)
      lines.emplace(record.replied_at, name + " " + Describe(*record.reply));
  }
  for (const auto& [at, line] : lines) {
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        at.time_since_epoch());
    out << time.count() << " " << line << "\n";
  }
}

}  // namespace berylreach::testing
