// JSON bodies of answers of leaves.
#include "berylreach/config/leaf_answer_codec.h"

#include <utility>

#include "berylreach/config/bounds.h"
#include "call_id_reader.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

using model::LeafOutcome;
using model::UpstreamResult;

constexpr unsigned kOkStatus = 200;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kUnavailableStatus = 503;
constexpr std::int64_t kMaxRetryAfterMs = 24LL * 60 * 60 * 1000;

void ReadOk(ObjectReader& reader, UpstreamResult& result) {
  result.outcome = LeafOutcome::kOk;
  result.leaf.value = reader.NonEmptyText("leaf", kMaxNameBytes);
  result.incarnation = reader.HexOrUnsigned("incarnation");
  result.shard = reader.Count("shard");
  result.shard_count = reader.Count("shard_count");
  result.version = reader.Unsigned("version");
  result.result = reader.AnyValue("result");
  result.holdings = reader.Holdings("holdings");
}

void ReadVersionGone(ObjectReader& reader, UpstreamResult& result) {
  result.outcome = LeafOutcome::kVersionGone;
  reader.OneOf("error", {"version_gone"});
  result.holdings = reader.Holdings("holdings");
}

void ReadUnavailable(ObjectReader& reader, UpstreamResult& result) {
  const std::size_t error = reader.OneOf("error", {"shedding", "draining"});
  result.outcome = error == 1 ? LeafOutcome::kDraining : LeafOutcome::kShed;
  if (!reader.Flag("not_run"))
    reader.Add("not_run", "must be true to prove that the call did not run");
  result.retry_after = std::chrono::milliseconds(
      reader.Integer("retry_after_ms", 0, kMaxRetryAfterMs));
}

json::object UnavailableBody(const UpstreamResult& result) {
  const bool draining = result.outcome == LeafOutcome::kDraining;
  return {{"error", draining ? "draining" : "shedding"},
          {"request_id", ToString(result.id)},
          {"not_run", true},
          {"retry_after_ms", result.retry_after.count()}};
}

std::string OkBody(const UpstreamResult& result) {
  return "{\"request_id\":" + Quote(ToString(result.id)) +
         ",\"leaf\":" + Quote(result.leaf.value) +
         ",\"incarnation\":" + Quote(ToHex(result.incarnation)) +
         ",\"shard\":" + std::to_string(result.shard) +
         ",\"shard_count\":" + std::to_string(result.shard_count) +
         ",\"version\":" + std::to_string(result.version) + ",\"result\":" +
         (result.result.empty() ? std::string("null") : result.result) +
         ",\"holdings\":" + json::serialize(ToJson(result.holdings)) + '}';
}

}  // namespace

Parsed<UpstreamResult> ParseLeafAnswer(unsigned http_status,
                                       std::string_view body) {
  Parsed<UpstreamResult> parsed;
  const auto value = ParseJson(body, kMaxLeafBodyBytes, parsed.findings);
  if (!value) return parsed;
  ObjectReader reader(*value, "", parsed.findings);
  UpstreamResult result;
  result.id = ReadCallId(reader, "request_id");
  if (http_status == kOkStatus)
    ReadOk(reader, result);
  else if (http_status == kConflictStatus)
    ReadVersionGone(reader, result);
  else if (http_status == kUnavailableStatus)
    ReadUnavailable(reader, result);
  else
    parsed.findings.push_back({"", "came with HTTP status " +
                                       std::to_string(http_status) +
                                       ", which is none of 200, 409 and 503"});
  if (parsed.findings.empty()) parsed.value = std::move(result);
  return parsed;
}

bool BelongsTo(const UpstreamResult& result, const model::UpstreamCall& call) {
  if (result.id != call.id) return false;
  if (result.outcome != LeafOutcome::kOk) return true;
  return result.leaf == call.leaf && result.shard == call.shard &&
         (call.version == 0 || result.version == call.version);
}

std::string EncodeLeafAnswer(const UpstreamResult& result) {
  switch (result.outcome) {
    case LeafOutcome::kOk:
      return OkBody(result);
    case LeafOutcome::kVersionGone:
      return json::serialize(
          json::object{{"error", "version_gone"},
                       {"request_id", ToString(result.id)},
                       {"holdings", ToJson(result.holdings)}});
    case LeafOutcome::kShed:
    case LeafOutcome::kDraining:
      return json::serialize(UnavailableBody(result));
    default:
      return {};
  }
}

}  // namespace berylreach::config
