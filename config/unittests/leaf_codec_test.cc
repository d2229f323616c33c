// Guards against leaf bodies that lose their identity or prove more than they
// say.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "berylreach/config/leaf_answer_codec.h"
#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status.h"

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

TEST(LeafCallTest, SurvivesItsJsonForm) {
  EXPECT_EQ(ParseLeafCall(EncodeLeafCall(SampleCall())).value, SampleCall());
  EXPECT_EQ(EncodeLeafCancel({1, 2}),
            R"({"request_id":"0000000000000001-0000000000000002"})");
}

TEST(LeafAnswerTest, SurvivesItsJsonForm) {
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

// Without the proof, an order that may have run would be reported as not run.
TEST(LeafAnswerTest, RefusalWithoutProofIsAFinding) {
  const std::string id = R"("request_id":"0000000000000001-0000000000000002")";
  const std::string rest = R"(,"error":"shedding","retry_after_ms":5)";
  EXPECT_FALSE(ParseLeafAnswer(503, '{' + id + rest + '}').value);
  EXPECT_FALSE(
      ParseLeafAnswer(503, '{' + id + rest + R"(,"not_run":false})").value);
  EXPECT_TRUE(
      ParseLeafAnswer(503, '{' + id + rest + R"(,"not_run":true})").value);
  EXPECT_FALSE(ParseLeafAnswer(500, '{' + id + '}').value);
  EXPECT_FALSE(ParseLeafAnswer(200, "<html>").value);
}

// A crossed answer would reach another caller.
TEST(LeafAnswerTest, CrossedAnswersDoNotBelong) {
  auto call = SampleCall();
  call.leaf.value = "desk-03-a";
  EXPECT_TRUE(BelongsTo(SampleResult(), call));
  auto other = SampleResult();
  other.id.counter = 6;
  EXPECT_FALSE(BelongsTo(other, call));
  other = SampleResult();
  other.leaf.value = "desk-03-b";
  EXPECT_FALSE(BelongsTo(other, call));
  other = SampleResult();
  other.shard = 4;
  EXPECT_FALSE(BelongsTo(other, call));
  other = SampleResult();
  other.version = 13;
  EXPECT_FALSE(BelongsTo(other, call));
  call.version = 0;
  EXPECT_TRUE(BelongsTo(other, call));
}

TEST(LeafStatusTest, SurvivesItsJsonForm) {
  const LeafStatus status{{"desk-03-a"}, 77, true, {{1, 0, 1}}};
  EXPECT_EQ(ParseLeafStatus(EncodeLeafStatus(status)).value, status);
  EXPECT_EQ(
      ParseLeafStatus(
          R"({"leaf":"x","incarnation":9,"state":"live","holdings":[],"y":1})")
          .value,
      (LeafStatus{{"x"}, 9, false, {}}));
}

// A shard outside its partition map would be counted as covered.
TEST(LeafStatusTest, RejectsShardsOutsideTheirPartition) {
  const auto parsed = ParseLeafStatus(
      R"({"leaf":"x","incarnation":9,"state":"live",
          "holdings":[{"version":1,"shard":4,"shard_count":4}]})");
  ASSERT_EQ(parsed.findings.size(), 1U);
  EXPECT_EQ(parsed.findings[0].place, "/holdings/0/shard");
}

}  // namespace
}  // namespace berylreach::config
