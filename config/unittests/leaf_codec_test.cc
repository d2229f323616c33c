// Guards against answers that are matched with the wrong call, and against
// refusals that count as proof that the call did not run although they do not
// state this.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status_codec.h"

namespace berylreach::config {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

model::UpstreamCall SampleCall() {
  model::UpstreamCall call;
  call.id = {0xfedcba9876543210ULL, 5};
  call.service.value = "desk";
  call.kind = model::RequestKind::kLookup;
  call.shard = 3;
  call.version = 12;
  call.payload = R"({"hide":"A-7"})";
  call.deadline =
      std::chrono::system_clock::time_point(milliseconds(1767225600250));
  return call;
}

model::UpstreamResult SampleResult() {
  model::UpstreamResult result;
  result.id = SampleCall().id;
  result.leaf.value = "desk-03-a";
  result.outcome = LeafOutcome::kOk;
  result.incarnation = 0xffffffffffffffffULL;
  result.version = 12;
  result.shard = 3;
  result.shard_count = 20;
  result.result = R"({"orders":[1]})";
  result.holdings = {{12, 3, 20}, {11, 3, 20}};
  return result;
}

constexpr char kId[] = R"("request_id":"0000000000000001-0000000000000002")";

/// Parses an answer with HTTP status 503 and `members` in its body.
Parsed<model::UpstreamResult> ParseRefusal(const std::string& members) {
  return ParseLeafAnswer(503, '{' + std::string(kId) + ',' + members + '}');
}

TEST(LeafCallTest, JsonFormRoundTrips) {
  auto call = SampleCall();
  EXPECT_EQ(ParseLeafCall(EncodeLeafCall(call)).value, call);
  call.key = "order \"1\"";
  EXPECT_EQ(ParseLeafCall(EncodeLeafCall(call)).value, call);
  EXPECT_EQ(ParseLeafCancel(EncodeLeafCancel({1, 2})).value,
            (model::CallId{1, 2}));
  EXPECT_EQ(EncodeLeafCancel({1, 2}),
            R"({"request_id":"0000000000000001-0000000000000002"})");
}

// The leaf would reject a body that is not JSON, and its answer would be
// counted as a crash of the leaf.
TEST(LeafCallTest, EveryPayloadGivesAJsonBody) {
  auto call = SampleCall();
  call.payload = "not {json";
  EXPECT_EQ(ParseLeafCall(EncodeLeafCall(call)).value->payload,
            R"("not {json")");
  call.payload.clear();
  call.key = "batch-7";
  EXPECT_EQ(ParseLeafCall(EncodeLeafCall(call)).value->payload, R"("batch-7")");
}

TEST(LeafAnswerTest, JsonFormRoundTrips) {
  const auto ok = SampleResult();
  EXPECT_EQ(ParseLeafAnswer(200, EncodeLeafAnswer(ok)).value, ok);
  model::UpstreamResult gone;
  gone.id = ok.id;
  gone.outcome = LeafOutcome::kVersionGone;
  gone.holdings = ok.holdings;
  EXPECT_EQ(ParseLeafAnswer(409, EncodeLeafAnswer(gone)).value, gone);
  for (const auto outcome : {LeafOutcome::kShed, LeafOutcome::kDraining}) {
    model::UpstreamResult busy;
    busy.id = ok.id;
    busy.outcome = outcome;
    busy.retry_after = milliseconds(80);
    EXPECT_EQ(ParseLeafAnswer(503, EncodeLeafAnswer(busy)).value, busy);
  }
}

// If a refusal without `"not_run": true` counted as proof, an order that may
// have run would be reported as not run.
TEST(LeafAnswerTest, RefusalWithoutProofMayHaveRun) {
  for (const std::string proof : {"", R"(,"not_run":false)"}) {
    const auto answer = ParseRefusal(R"("error":"shedding")" + proof);
    ASSERT_TRUE(answer.value);
    EXPECT_EQ(answer.value->outcome, LeafOutcome::kLost);
    EXPECT_FALSE(ProvesNotRun(answer.value->outcome));
    EXPECT_TRUE(answer.value->call_ended);
  }
  EXPECT_FALSE(ParseRefusal(R"("error":"shedding","not_run":"true")").value);
  const auto proven = ParseRefusal(R"("error":"shedding","not_run":true)");
  ASSERT_TRUE(proven.value);
  EXPECT_EQ(proven.value->outcome, LeafOutcome::kShed);
  EXPECT_FALSE(proven.value->call_ended);
  EXPECT_FALSE(ParseLeafAnswer(500, '{' + std::string(kId) + '}').value);
  EXPECT_FALSE(ParseLeafAnswer(200, "<html>").value);
}

// If the parser accepted unknown errors or invalid members, a malformed refusal
// would count as proof that the call did not run.
TEST(LeafAnswerTest, ParsesRefusalsStrictly) {
  for (const std::string error : {"cancelled", "deadline_exceeded"}) {
    const auto answer =
        ParseLeafAnswer(503, EncodeLeafRefusal({{1, 2}, error, true, {}}));
    ASSERT_TRUE(answer.value);
    EXPECT_EQ(answer.value->outcome, LeafOutcome::kNotSent);
  }
  EXPECT_FALSE(ParseRefusal(R"("error":"unheard of","not_run":true)").value);
  EXPECT_FALSE(ParseRefusal(R"("not_run":true)").value);
  const std::string shed = R"("error":"shedding","not_run":true)";
  EXPECT_FALSE(ParseRefusal(shed + R"(,"retry_after_ms":-1)").value);
  EXPECT_FALSE(ParseRefusal(shed + R"(,"not_run":true)").value);
  EXPECT_FALSE(ParseRefusal(shed + R"(,"incarnation":"x")").value);
  EXPECT_EQ(ParseRefusal(shed + R"(,"incarnation":9)").value->incarnation, 9U);
}

// If repeated members were accepted, the value in effect would depend on the
// program that reads the answer.
TEST(LeafAnswerTest, RejectsRepeatedMembersAtAnyDepth) {
  const auto answer = [](const std::string& result) {
    const std::string members =
        R"(,"leaf":"x","incarnation":1,"shard":0,"shard_count":1,)"
        R"("version":1,"holdings":[],"result":)";
    return ParseLeafAnswer(200,
                           '{' + std::string(kId) + members + result + '}');
  };
  const std::string name = R"("a\\\":b\\")";
  EXPECT_TRUE(answer("[{" + name + R"(:"\":{"},{)" + name + ":1}]").value);
  const auto repeated =
      answer("[{" + name + R"(:"\":{"},{)" + name + ":1," + name + ":2}]");
  ASSERT_EQ(repeated.findings.size(), 1U);
  EXPECT_EQ(repeated.findings[0].location, R"(/result/1/a\":b\)");
  EXPECT_EQ(answer(R"({"a":{"b":1,"b":2},"a":3})").findings.size(), 2U);
}

// If an answer to another call were accepted, its result would reach the wrong
// caller.
TEST(LeafAnswerTest, RejectsAnswersToOtherCalls) {
  auto call = SampleCall();
  call.leaf.value = "desk-03-a";
  EXPECT_TRUE(MatchesCall(SampleResult(), call));
  auto other = SampleResult();
  other.id.counter = 6;
  EXPECT_FALSE(MatchesCall(other, call));
  other = SampleResult();
  other.leaf.value = "desk-03-b";
  EXPECT_FALSE(MatchesCall(other, call));
  other = SampleResult();
  other.shard = 4;
  EXPECT_FALSE(MatchesCall(other, call));
  other = SampleResult();
  other.version = 13;
  EXPECT_FALSE(MatchesCall(other, call));
  call.version = 0;
  EXPECT_TRUE(MatchesCall(other, call));
}

TEST(LeafStatusTest, JsonFormRoundTrips) {
  model::LeafStatus status;
  status.leaf.value = "desk-03-a";
  status.reachable = true;
  status.incarnation = 77;
  status.draining = true;
  status.holdings = {{1, 0, 1}};
  EXPECT_EQ(ParseLeafStatus(EncodeLeafStatus(status)).value, status);
  status = {{"x"}, true, false, 9, false, {}};
  EXPECT_EQ(
      ParseLeafStatus(
          R"({"leaf":"x","incarnation":9,"state":"live","holdings":[],"y":1})")
          .value,
      status);
}

// A shard number outside of its partition map would count towards coverage.
TEST(LeafStatusTest, RejectsShardsOutsideTheirPartition) {
  const auto parsed = ParseLeafStatus(
      R"({"leaf":"x","incarnation":9,"state":"live",
          "holdings":[{"version":1,"shard":4,"shard_count":4}]})");
  ASSERT_EQ(parsed.findings.size(), 1U);
  EXPECT_EQ(parsed.findings[0].location, "/holdings/0/shard");
}

}  // namespace
}  // namespace berylreach::config
