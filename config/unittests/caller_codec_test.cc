// Guards against caller bodies that are parsed wrongly, and against refusals
// that do not say what is wrong with the body.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "berylreach/config/bounds.h"
#include "berylreach/config/caller_reply_codec.h"
#include "berylreach/config/caller_request_codec.h"

namespace berylreach::config {
namespace {

using model::ErrorCode;
using model::RequestKind;
using std::chrono::milliseconds;
using testing::HasSubstr;

const base::TimePoint kNow{std::chrono::seconds(100)};
const model::CallId kId{1, 2};

CallerRequestOrRefusal Parse(RequestKind kind, std::string_view body) {
  return ParseCallerRequest(kind, body, kId, kNow);
}

/// Parses a body that must be accepted.
model::CallerRequest ParseAccepted(RequestKind kind, std::string_view body) {
  const auto parsed = Parse(kind, body);
  const auto* refusal = std::get_if<model::Refusal>(&parsed);
  EXPECT_EQ(refusal, nullptr) << refusal->message;
  return refusal == nullptr ? std::get<model::CallerRequest>(parsed)
                            : model::CallerRequest{};
}

/// Parses a body that must be refused, without a retry.
model::Refusal ParseRefused(RequestKind kind, std::string_view body) {
  const auto parsed = Parse(kind, body);
  EXPECT_TRUE(std::holds_alternative<model::Refusal>(parsed));
  const auto refusal = std::get<model::Refusal>(parsed);
  EXPECT_EQ(refusal.execution, model::ExecutionStatus::kNotRun);
  EXPECT_EQ(refusal.retry_after, milliseconds(0));
  return refusal;
}

TEST(CallerRequestTest, ParsesQueries) {
  const auto request = ParseAccepted(
      RequestKind::kQuery,
      R"({"service":"desk","payload":{"b": [1, "x"]},"deadline_ms":250,"least_coverage":0.5})");
  EXPECT_EQ(request.id, kId);
  EXPECT_EQ(request.service.value, "desk");
  EXPECT_EQ(request.payload, R"({"b":[1,"x"]})");
  EXPECT_EQ(request.deadline, kNow + milliseconds(250));
  EXPECT_EQ(request.minimum_coverage, 0.5);
}

// Lookups have no payload in their body. If it stayed empty, all lookups would
// have the same fingerprint and leaves would not receive the key.
TEST(CallerRequestTest, LookupPayloadIsTheKey) {
  const auto request =
      ParseAccepted(RequestKind::kLookup, R"({"service":"desk","key":"a\"b"})");
  EXPECT_EQ(request.key, "a\"b");
  EXPECT_EQ(request.payload, R"("a\"b")");
  EXPECT_EQ(request.deadline, kNow + kDefaultDeadline);
}

TEST(CallerRequestTest, JsonFormRoundTrips) {
  model::CallerRequest order;
  order.id = kId;
  order.kind = RequestKind::kOrder;
  order.service.value = "ledger";
  order.key = "k\n1";
  order.payload = R"({"cut":[1,null]})";
  order.issued_at =
      std::chrono::system_clock::time_point(milliseconds(1767225600001));
  order.deadline = kNow + milliseconds(70);
  EXPECT_EQ(
      ParseAccepted(RequestKind::kOrder, EncodeCallerRequest(order, kNow)),
      order);
}

TEST(CallerRequestTest, ReportsAllFindings) {
  const auto refusal = ParseRefused(
      RequestKind::kOrder,
      R"({"service":"","key":"","issued_at_ms":"now","deadline_ms":1e9,
                  "least_coverage":1})");
  EXPECT_EQ(refusal.code, ErrorCode::kBadRequest);
  for (const char* location :
       {"/service ", "/key ", "/issued_at_ms ", "/payload is missing",
        "/deadline_ms ", "/least_coverage is unknown"})
    EXPECT_THAT(refusal.message, HasSubstr(location));
}

// A request whose deadline has already passed must not be sent to leaves.
TEST(CallerRequestTest, RefusesDeadlinesInThePast) {
  for (const char* body : {R"({"service":"s","payload":1,"deadline_ms":0})",
                           R"({"service":"s","payload":1,"deadline_ms":-5})"})
    EXPECT_EQ(ParseRefused(RequestKind::kQuery, body).code,
              ErrorCode::kDeadlineInPast);
}

// Bodies of unlimited size or depth would exhaust the host's resources, and a
// refusal that lists every finding could be as large as the body.
TEST(CallerRequestTest, LimitsDepthSizeAndReportedFindings) {
  const std::string deep = R"({"service":"s","payload":)" +
                           std::string(40, '[') + std::string(40, ']') + '}';
  EXPECT_THAT(ParseRefused(RequestKind::kQuery, deep).message,
              HasSubstr("nested deeper"));
  const std::string large(kMaxCallerBodyBytes + 1, ' ');
  EXPECT_THAT(ParseRefused(RequestKind::kQuery, large).message,
              HasSubstr("longer than"));
  std::string unknown = R"({"service":"s","payload":1)";
  for (int i = 0; i < 1000; ++i) unknown += ",\"x" + std::to_string(i) + "\":1";
  EXPECT_THAT(ParseRefused(RequestKind::kQuery, unknown + '}').message,
              HasSubstr("and 980 more"));
}

TEST(CallerReplyTest, JsonFormOfAnswersRoundTrips) {
  const model::CallerReply reply =
      model::Answer{{{0, R"({"a":1})"}, {2, "null"}},
                    9,
                    {2, 3, {{1, model::MissingReason::kVersionGone}}}};
  const std::string body = EncodeCallerReply(reply);
  EXPECT_EQ(
      body,
      R"({"results":[{"shard":0,"result":{"a":1}},{"shard":2,"result":null}],"version":9,)"
      R"("coverage":{"shards_answered":2,"shards_total":3,"missing":[{"shard":1,"reason":"version_gone"}]}})");
  EXPECT_EQ(ParseCallerReply(body).value, reply);
  EXPECT_EQ(HttpStatus(reply), 200U);
}

// Clients would not recognize an error code without a name of its own, and one
// with HTTP status 200 would look like success.
TEST(CallerReplyTest, JsonFormOfEveryRefusalRoundTrips) {
  for (int code = 0; code <= static_cast<int>(ErrorCode::kNoSnapshot); ++code) {
    const model::CallerReply reply =
        model::Refusal{static_cast<ErrorCode>(code), "said \"so\"",
                       model::ExecutionStatus::kMayHaveRun, milliseconds(40)};
    EXPECT_EQ(ParseCallerReply(EncodeCallerReply(reply)).value, reply) << code;
    EXPECT_GE(HttpStatus(reply), 400U) << code;
  }
}

}  // namespace
}  // namespace berylreach::config
