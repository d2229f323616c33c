// Parses and encodes the JSON bodies of caller requests.
#include "berylreach/config/caller_request_codec.h"

#include <algorithm>
#include <utility>

#include "berylreach/config/bounds.h"
#include "json_output.h"
#include "object_reader.h"

namespace berylreach::config {
namespace {

/// Maximum number of findings in one refusal; limits the size of the refusal.
constexpr std::size_t kMaxReportedFindings = 20;

model::Refusal BadRequest(const base::Findings& findings) {
  std::string message;
  const std::size_t count = std::min(findings.size(), kMaxReportedFindings);
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) message += "; ";
    message += findings[i].location.empty() ? "body" : findings[i].location;
    message += ' ' + findings[i].message;
  }
  if (count < findings.size())
    message += "; and " + std::to_string(findings.size() - count) + " more";
  return {model::ErrorCode::kBadRequest, std::move(message),
          model::ExecutionStatus::kNotRun, std::chrono::milliseconds(0)};
}

/// Reads the time until the deadline, which may be zero or negative.
std::chrono::milliseconds ReadBudget(ObjectReader& reader) {
  if (!reader.Has("deadline_ms")) return kDefaultDeadline;
  return std::chrono::milliseconds(
      reader.Int64("deadline_ms", -static_cast<std::int64_t>(kMaxExactInteger),
                   kMaxDeadline.count()));
}

void ReadMembersOfKind(ObjectReader& reader, model::CallerRequest& request) {
  switch (request.kind) {
    case model::RequestKind::kQuery:
      request.payload = reader.AnyValue("payload");
      if (reader.Has("least_coverage"))
        request.minimum_coverage = reader.Fraction("least_coverage", 0, 1);
      return;
    case model::RequestKind::kLookup:
      request.key = reader.NonEmptyText("key", kMaxKeyBytes);
      request.payload = Quote(request.key);
      return;
    case model::RequestKind::kOrder:
      request.key = reader.NonEmptyText("key", kMaxKeyBytes);
      request.issued_at = reader.Time("issued_at_ms");
      request.payload = reader.AnyValue("payload");
      return;
  }
}

}  // namespace

CallerRequestOrRefusal ParseCallerRequest(model::RequestKind kind,
                                          std::string_view body,
                                          const model::CallId& id,
                                          base::TimePoint now) {
  base::Findings findings;
  const auto value = ParseJson(body, kMaxCallerBodyBytes, findings);
  if (!value) return BadRequest(findings);
  model::CallerRequest request;
  request.id = id;
  request.kind = kind;
  ObjectReader reader(*value, "", findings);
  request.service.value = reader.Name("service");
  ReadMembersOfKind(reader, request);
  const std::chrono::milliseconds budget = ReadBudget(reader);
  reader.RejectUnknown();
  if (!findings.empty()) return BadRequest(findings);
  if (budget.count() <= 0)
    return model::Refusal{
        model::ErrorCode::kDeadlineInPast, "/deadline_ms must be above 0",
        model::ExecutionStatus::kNotRun, std::chrono::milliseconds(0)};
  request.deadline = now + budget;
  return request;
}

std::string EncodeCallerRequest(const model::CallerRequest& request,
                                base::TimePoint now) {
  std::string body = "{\"service\":" + Quote(request.service.value);
  if (request.kind != model::RequestKind::kQuery)
    body += ",\"key\":" + Quote(request.key);
  if (request.kind == model::RequestKind::kOrder)
    body += ",\"issued_at_ms\":" + std::to_string(ToUnixMs(request.issued_at));
  if (request.kind != model::RequestKind::kLookup)
    body += ",\"payload\":" + request.payload;
  if (request.kind == model::RequestKind::kQuery)
    body += ",\"least_coverage\":" +
            json::serialize(json::value(request.minimum_coverage));
  const auto budget =
      std::chrono::floor<std::chrono::milliseconds>(request.deadline - now);
  return body + ",\"deadline_ms\":" + std::to_string(budget.count()) + '}';
}

}  // namespace berylreach::config
