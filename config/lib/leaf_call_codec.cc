// JSON bodies of calls to leaves.
#include "berylreach/config/leaf_call_codec.h"

#include "berylreach/config/bounds.h"
#include "berylreach/config/request_kind_name.h"
#include "call_id_reader.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {

std::string EncodeLeafCall(const model::UpstreamCall& call) {
  return "{\"request_id\":" + Quote(ToString(call.id)) +
         ",\"service\":" + Quote(call.service.value) +
         ",\"kind\":" + Quote(ToString(call.kind)) +
         ",\"shard\":" + std::to_string(call.shard) +
         ",\"version\":" + std::to_string(call.version) + ",\"payload\":" +
         (call.payload.empty() ? std::string("null") : call.payload) +
         ",\"deadline_unix_ms\":" + std::to_string(ToUnixMs(call.deadline)) +
         '}';
}

std::string EncodeLeafCancel(const model::CallId& id) {
  return "{\"request_id\":" + Quote(ToString(id)) + '}';
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
    reader.Add("kind", "must be one of \"query\", \"lookup\", \"order\"");
  call.shard = reader.Count("shard");
  call.version = reader.Unsigned("version");
  call.payload = reader.AnyValue("payload");
  call.deadline = reader.Time("deadline_unix_ms");
  if (result.findings.empty()) result.value = std::move(call);
  return result;
}

}  // namespace berylreach::config
