// Parses and encodes the JSON bodies of answers from leaves.
#include "berylreach/config/leaf_answer_codec.h"

#include <array>
#include <utility>
#include <vector>

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

/// Errors of a refusal with `"not_run": true`, and their outcomes in the same
/// order.
const std::vector<std::string_view> kNotRunErrors = {
    "shedding", "draining", "cancelled", "deadline_exceeded"};
constexpr std::array<LeafOutcome, 4> kNotRunOutcomes = {
    LeafOutcome::kShed, LeafOutcome::kDraining, LeafOutcome::kNotSent,
    LeafOutcome::kNotSent};

void ReadOk(ObjectReader& reader, UpstreamResult& result) {
  result.outcome = LeafOutcome::kOk;
  result.leaf.value = reader.NonEmptyText("leaf", kMaxNameBytes);
  result.shard = reader.Uint32("shard");
  result.shard_count = reader.Uint32("shard_count");
  result.version = reader.Uint64("version");
  result.result = reader.AnyValue("result");
  result.holdings = reader.Holdings("holdings");
}

void ReadVersionGone(ObjectReader& reader, UpstreamResult& result) {
  result.outcome = LeafOutcome::kVersionGone;
  reader.OneOf("error", {"version_gone"});
  result.holdings = reader.Holdings("holdings");
}

void ReadUnavailable(ObjectReader& reader, UpstreamResult& result) {
  if (reader.Has("retry_after_ms"))
    result.retry_after = std::chrono::milliseconds(
        reader.Int64("retry_after_ms", 0, kMaxRetryAfterMs));
  // Without "not_run" the call may have run, whatever the error is.
  if (!reader.Has("not_run") || !reader.Bool("not_run")) {
    result.outcome = LeafOutcome::kLost;
    result.call_ended = true;
    return;
  }
  const std::size_t error = reader.OneOf("error", kNotRunErrors);
  if (error < kNotRunErrors.size()) result.outcome = kNotRunOutcomes[error];
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
  if (http_status == kOkStatus || reader.Has("incarnation"))
    result.incarnation = reader.HexOrUint64("incarnation");
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

bool MatchesCall(const UpstreamResult& result,
                 const model::UpstreamCall& call) {
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
      return EncodeLeafRefusal(
          {result.id, "shedding", true, result.retry_after});
    case LeafOutcome::kDraining:
      return EncodeLeafRefusal(
          {result.id, "draining", true, result.retry_after});
    default:
      return {};
  }
}

std::string EncodeLeafRefusal(const LeafRefusal& refusal) {
  json::object body{{"error", refusal.error},
                    {"request_id", ToString(refusal.id)}};
  if (refusal.not_run) body["not_run"] = true;
  body["retry_after_ms"] = refusal.retry_after.count();
  return json::serialize(body);
}

}  // namespace berylreach::config
