// Encodes and parses the status that a host reports to operators.
#include "berylreach/config/host_status.h"

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

constexpr std::size_t kMaxBuildBytes = 256;

}  // namespace

std::string EncodeHostStatus(const HostStatus& status) {
  return json::serialize(json::object{
      {"host", status.host.value},
      {"incarnation", ToHex(status.incarnation)},
      {"zone", status.zone.value},
      {"epoch", status.epoch},
      {"document",
       {{"version", status.document.version}, {"hash", status.document.hash}}},
      {"lease", status.has_lease},
      {"ready", status.ready},
      {"build", status.build}});
}

Parsed<HostStatus> ParseHostStatus(std::string_view body) {
  Parsed<HostStatus> result;
  const auto value = ParseJson(body, kMaxHostBodyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  HostStatus status;
  status.host.value = reader.NonEmptyText("host", kMaxNameBytes);
  status.incarnation = reader.Hex("incarnation");
  status.zone.value = reader.Text("zone", kMaxNameBytes);
  status.epoch = reader.Uint64("epoch");
  reader.Member("document",
                [&](const json::value& item, const std::string& location) {
                  ObjectReader document(item, location, result.findings);
                  status.document.version = document.Uint64("version");
                  status.document.hash = document.Text("hash", kMaxNameBytes);
                });
  status.has_lease = reader.Bool("lease");
  status.ready = reader.Bool("ready");
  if (reader.Has("build")) status.build = reader.Text("build", kMaxBuildBytes);
  if (result.findings.empty()) result.value = std::move(status);
  return result;
}

}  // namespace berylreach::config
