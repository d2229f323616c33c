// Encodes and parses the JSON bodies of replies to callers.
#include "berylreach/config/caller_reply_codec.h"

#include <array>
#include <utility>

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

using model::ErrorCode;
using model::MissingReason;

/// Maximum size of a reply that ParseCallerReply accepts.
constexpr std::size_t kMaxReplyBytes = 1ULL << 30;
constexpr std::int64_t kMaxRetryAfterMs = 24LL * 60 * 60 * 1000;

constexpr std::array<ErrorCode, 15> kErrorCodes{
    ErrorCode::kBadRequest,
    ErrorCode::kUnknownService,
    ErrorCode::kDeadlineInPast,
    ErrorCode::kDeadlineExceeded,
    ErrorCode::kOverloaded,
    ErrorCode::kUnavailable,
    ErrorCode::kInsufficientCoverage,
    ErrorCode::kNotServing,
    ErrorCode::kStoreUnavailable,
    ErrorCode::kKeyConflict,
    ErrorCode::kKeyExpired,
    ErrorCode::kInProgress,
    ErrorCode::kRequestBlocked,
    ErrorCode::kUpstreamFailed,
    ErrorCode::kNoSnapshot};

constexpr std::array<MissingReason, 5> kMissingReasons{
    MissingReason::kNoReplica, MissingReason::kTimedOut,
    MissingReason::kOverloaded, MissingReason::kFailed,
    MissingReason::kVersionGone};

constexpr std::array<model::ExecutionStatus, 3> kExecutionStatuses{
    model::ExecutionStatus::kNotRun, model::ExecutionStatus::kMayHaveRun,
    model::ExecutionStatus::kRan};

/// Reads a member whose value is the name of one of `values`. Adds a finding
/// and returns the default value if it is missing or invalid.
template <typename T, std::size_t Size>
T ReadEnum(ObjectReader& reader, std::string_view name,
           const std::array<T, Size>& values) {
  std::vector<std::string_view> names;
  for (const T value : values) names.push_back(ToString(value));
  const std::size_t position = reader.OneOf(name, names);
  return position < Size ? values[position] : T{};
}

std::string Encode(const model::Coverage& coverage) {
  std::string body =
      "{\"shards_answered\":" + std::to_string(coverage.shards_answered) +
      ",\"shards_total\":" + std::to_string(coverage.shards_total) +
      ",\"missing\":[";
  bool first = true;
  for (const model::MissingShard& missing : coverage.missing) {
    if (!std::exchange(first, false)) body += ',';
    body += "{\"shard\":" + std::to_string(missing.shard) +
            ",\"reason\":" + Quote(ToString(missing.reason)) + '}';
  }
  return body + "]}";
}

std::string Encode(const model::Answer& answer) {
  std::string body = "{\"results\":[";
  bool first = true;
  for (const model::ShardResult& result : answer.results) {
    if (!std::exchange(first, false)) body += ',';
    body += "{\"shard\":" + std::to_string(result.shard) + ",\"result\":" +
            (result.result.empty() ? std::string("null") : result.result) + '}';
  }
  return body + "],\"version\":" + std::to_string(answer.version) +
         ",\"coverage\":" + Encode(answer.coverage) + '}';
}

std::string Encode(const model::Refusal& refusal) {
  return "{\"error\":{\"code\":" + Quote(ToString(refusal.code)) +
         ",\"message\":" + Quote(refusal.message) +
         "},\"ran\":" + Quote(ToString(refusal.execution)) +
         ",\"retry_after_ms\":" + std::to_string(refusal.retry_after.count()) +
         '}';
}

model::Coverage ReadCoverage(const json::value& value,
                             const std::string& location,
                             base::Findings& findings) {
  ObjectReader reader(value, location, findings);
  model::Coverage coverage;
  coverage.shards_answered = reader.Uint32("shards_answered");
  coverage.shards_total = reader.Uint32("shards_total");
  reader.ForEachElement(
      "missing", 0, kMaxShards,
      [&](const json::value& item, const std::string& item_location) {
        ObjectReader missing(item, item_location, findings);
        const std::uint32_t shard = missing.Uint32("shard");
        coverage.missing.push_back(
            {shard, ReadEnum(missing, "reason", kMissingReasons)});
      });
  return coverage;
}

model::Answer ReadAnswer(ObjectReader& reader, base::Findings& findings) {
  model::Answer answer;
  reader.ForEachElement(
      "results", 0, kMaxShards,
      [&](const json::value& item, const std::string& location) {
        ObjectReader result(item, location, findings);
        const std::uint32_t shard = result.Uint32("shard");
        answer.results.push_back({shard, result.AnyValue("result")});
      });
  answer.version = reader.Uint64("version");
  reader.Member("coverage",
                [&](const json::value& item, const std::string& location) {
                  answer.coverage = ReadCoverage(item, location, findings);
                });
  return answer;
}

model::Refusal ReadRefusal(ObjectReader& reader, base::Findings& findings) {
  model::Refusal refusal;
  reader.Member("error",
                [&](const json::value& item, const std::string& location) {
                  ObjectReader error(item, location, findings);
                  refusal.code = ReadEnum(error, "code", kErrorCodes);
                  refusal.message = error.Text("message", kMaxReplyBytes);
                });
  refusal.execution = ReadEnum(reader, "ran", kExecutionStatuses);
  refusal.retry_after = std::chrono::milliseconds(
      reader.Int64("retry_after_ms", 0, kMaxRetryAfterMs));
  return refusal;
}

unsigned HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadRequest:
    case ErrorCode::kDeadlineInPast:
      return 400;
    case ErrorCode::kUnknownService:
      return 404;
    case ErrorCode::kKeyConflict:
    case ErrorCode::kInProgress:
      return 409;
    case ErrorCode::kKeyExpired:
      return 410;
    case ErrorCode::kRequestBlocked:
      return 422;
    case ErrorCode::kUpstreamFailed:
      return 502;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kOverloaded:
    case ErrorCode::kUnavailable:
    case ErrorCode::kInsufficientCoverage:
    case ErrorCode::kNotServing:
    case ErrorCode::kStoreUnavailable:
    case ErrorCode::kNoSnapshot:
      return 503;
  }
  return 500;
}

}  // namespace

std::string_view ToString(model::ExecutionStatus execution) {
  switch (execution) {
    case model::ExecutionStatus::kNotRun:
      return "not_run";
    case model::ExecutionStatus::kMayHaveRun:
      return "may_have_run";
    case model::ExecutionStatus::kRan:
      return "ran";
  }
  return "may_have_run";
}

std::string EncodeCallerReply(const model::CallerReply& reply) {
  return std::visit([](const auto& value) { return Encode(value); }, reply);
}

unsigned HttpStatus(const model::CallerReply& reply) {
  const auto* refusal = std::get_if<model::Refusal>(&reply);
  return refusal == nullptr ? 200 : HttpStatusOf(refusal->code);
}

Parsed<model::CallerReply> ParseCallerReply(std::string_view body) {
  Parsed<model::CallerReply> result;
  const auto value = ParseJson(body, kMaxReplyBytes, result.findings);
  if (!value) return result;
  ObjectReader reader(*value, "", result.findings);
  model::CallerReply reply;
  if (reader.Has("error"))
    reply = ReadRefusal(reader, result.findings);
  else
    reply = ReadAnswer(reader, result.findings);
  if (result.findings.empty()) result.value = std::move(reply);
  return result;
}

}  // namespace berylreach::config
