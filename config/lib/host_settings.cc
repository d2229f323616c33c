// Parses the process settings of a host.
#include "berylreach/config/host_settings.h"

#include "berylreach/config/address.h"
#include "berylreach/config/bounds.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// Maximum value of `caller_connections`, `running_requests` and
/// `queued_calls_per_leaf`.
constexpr std::uint32_t kMaxRunningRequests = 100'000;
constexpr std::uint32_t kMaxTimelineEvents = 100'000;

std::string ReadListenAddress(ObjectReader& reader, std::string_view name) {
  std::string text = reader.IpAddress(name, true);
  if (text.empty()) return text;
  if (const auto message = CheckListenAddress(text))
    reader.AddFinding(name, *message);
  return text;
}

/// Reads an optional limit; `limit` keeps its value if the member is absent.
void ReadLimit(ObjectReader& reader, std::string_view name, std::uint32_t max,
               std::uint32_t& limit) {
  if (reader.Has(name)) limit = reader.Uint32(name, 1, max);
}

HostLimits ReadLimits(const json::value& value, const std::string& location,
                      base::Findings& findings) {
  ObjectReader reader(value, location, findings);
  HostLimits limits;
  ReadLimit(reader, "caller_connections", kMaxRunningRequests,
            limits.caller_connections);
  ReadLimit(reader, "running_requests", kMaxRunningRequests,
            limits.running_requests);
  ReadLimit(reader, "request_bytes", kMaxCallerBodyBytes, limits.request_bytes);
  ReadLimit(reader, "queued_calls_per_leaf", kMaxRunningRequests,
            limits.queued_calls_per_leaf);
  ReadLimit(reader, "timeline_events", kMaxTimelineEvents,
            limits.timeline_events);
  reader.RejectUnknown();
  return limits;
}

}  // namespace

std::optional<std::string> CheckListenAddress(std::string_view text) {
  const auto address = ParseAddress(text);
  if (!address)
    return "must be an IP address and a port, such as \"10.0.0.7:8080\"";
  if (IsUnspecified(*address))
    return "must be an address that other hosts can reach";
  return std::nullopt;
}

Parsed<HostSettings> ParseHostSettings(std::string_view bytes) {
  Parsed<HostSettings> result;
  const auto value = ParseJson(bytes, kMaxSettingsBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  HostSettings settings;
  settings.host.value = reader.Name("host");
  settings.environment = reader.Name("environment");
  settings.zone.value = reader.Name("zone");
  settings.http_listen = ReadListenAddress(reader, "http_listen");
  settings.rpc_listen = ReadListenAddress(reader, "rpc_listen");
  settings.store_address = reader.IpAddress("store_address");
  settings.host_list_address = reader.IpAddress("host_list_address");
  if (reader.Has("limits")) {
    reader.Member(
        "limits", [&](const json::value& item, const std::string& location) {
          settings.limits = ReadLimits(item, location, result.findings);
        });
  }
  reader.RejectUnknown();
  if (result.findings.empty()) result.value = std::move(settings);
  return result;
}

}  // namespace berylreach::config
