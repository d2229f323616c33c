// Encodes and parses the JSON bodies of calls to leaves.
#include "berylreach/config/leaf_call_codec.h"

#include "berylreach/config/bounds.h"
#include "berylreach/config/request_kind_name.h"
#include "call_id_reader.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// The payload as JSON text: the payload itself if it is valid JSON, otherwise
/// the payload as a JSON string. If the payload is empty, the key as a JSON
/// string.
std::string PayloadText(const model::UpstreamCall& call) {
  if (call.payload.empty()) return Quote(call.key);
  json::error_code error;
  json::parse(call.payload, error);
  return error ? Quote(call.payload) : call.payload;
}

}  // namespace

std::string EncodeLeafCall(const model::UpstreamCall& call) {
  const std::string key =
      call.key.empty() ? std::string() : ",\"key\":" + Quote(call.key);
  return "{\"request_id\":" + Quote(ToString(call.id)) +
         ",\"service\":" + Quote(call.service.value) +
         ",\"kind\":" + Quote(ToString(call.kind)) +
         ",\"shard\":" + std::to_string(call.shard) +
         ",\"version\":" + std::to_string(call.version) +
         ",\"payload\":" + PayloadText(call) + key +
         ",\"deadline_unix_ms\":" + std::to_string(ToUnixMs(call.deadline)) +
         '}';
}

std::string EncodeLeafCancel(const model::CallId& id) {
  return "{\"request_id\":" + Quote(ToString(id)) + '}';
}

Parsed<model::CallId> ParseLeafCancel(std::string_view body) {
  Parsed<model::CallId> result;
  const auto value = ParseJson(body, kMaxLeafBodyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  const model::CallId id = ReadCallId(reader, "request_id");
  if (result.findings.empty()) result.value = id;
  return result;
}

Parsed<model::UpstreamCall> ParseLeafCall(std::string_view body) {
  Parsed<model::UpstreamCall> result;
  const auto value = ParseJson(body, kMaxLeafBodyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  model::UpstreamCall call;
  call.id = ReadCallId(reader, "request_id");
  call.service.value = reader.Name("service");
  const std::string kind = reader.Text("kind", kMaxNameBytes);
  if (const auto parsed = ParseRequestKind(kind))
    call.kind = *parsed;
  else
    reader.AddFinding("kind",
                      "must be one of \"query\", \"lookup\", \"order\"");
  call.shard = reader.Uint32("shard");
  call.version = reader.Uint64("version");
  call.payload = reader.AnyValue("payload");
  if (reader.Has("key")) call.key = reader.NonEmptyText("key", kMaxKeyBytes);
  call.deadline = reader.Time("deadline_unix_ms");
  if (result.findings.empty()) result.value = std::move(call);
  return result;
}

}  // namespace berylreach::config
