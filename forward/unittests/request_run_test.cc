// Tests the calls, retries, hedges and answers of one request.
#include "berylreach/forward/request_run.h"

#include <gmock/gmock.h>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

using RequestRunTest = RunFixture;

const std::string kLow(16, 'a');
const std::string kMid(16, 'b');
const std::string kHigh(16, 'c');

TEST_F(RequestRunTest, MergesTheGreatestRecordsOfAllShards) {
  StartRun(route_);
  ASSERT_EQ(started_.size(), 4U);
  Reply(started_[0], Success(kMid));
  Reply(started_[1], Success(kLow));
  Reply(started_[2], Success(kHigh));
  EXPECT_FALSE(reply_);
  Reply(started_[3], Success(kLow));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->reply.body, kHigh + kMid);
  EXPECT_EQ(reply_->missing_shards, 0U);
  EXPECT_EQ(reply_->signatures.size(), 4U);
}

// Guards against a slow shard that delays a sufficient answer beyond the
// objective.
TEST_F(RequestRunTest, SendsPartialAnswerBeforeObjective) {
  route_.attempts = 1;
  StartRun(route_);
  for (int i = 0; i < 3; ++i) Reply(started_[i], Success(kLow));
  AdvanceTo(milliseconds(130));
  EXPECT_FALSE(reply_);
  AdvanceTo(milliseconds(140));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 1U);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
}

// Guards against answers below the minimum coverage.
TEST_F(RequestRunTest, WaitsForMinimumCoverageBeyondObjective) {
  route_.attempts = 1;
  StartRun(route_);
  Reply(started_[0], Success(kLow));
  Reply(started_[1], Success(kLow));
  AdvanceTo(milliseconds(400));
  EXPECT_FALSE(reply_);
  Reply(started_[2], Success(kLow));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 1U);
}

// Guards against callers who wait although the minimum coverage cannot be
// reached.
TEST_F(RequestRunTest, RefusesAtOnceWhenCoverageIsOutOfReach) {
  route_.attempts = 1;
  StartRun(route_);
  Fail(started_[0], CallFailure::kMayHaveRun);
  EXPECT_FALSE(reply_);
  Fail(started_[1], CallFailure::kMayHaveRun);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_GT(reply_->retry_after.count(), 0);
}

// Guards against callers who wait until their timeout for leaves that are cold
// and may not be called.
TEST_F(RequestRunTest, RefusesWithinQuarterOfObjectiveWithoutCallableLeaf) {
  for (const char* leaf : {"f-a", "f-b"}) {
    const auto record = directory_.Find(leaf);
    record->SetColdFor(std::chrono::seconds(5), clock_.Now());
    cold_.OnCall(leaf);
  }
  cold_.SetHosts("host", {});
  StartRun(single_leaf_route_, milliseconds(3000));
  EXPECT_FALSE(reply_);
  AdvanceTo(single_leaf_route_.objective / 4 + milliseconds(15));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GT(reply_->retry_after.count(), 0);
  EXPECT_TRUE(started_.empty());
}

// Guards against refusals that say the request may have run, and so prevent a
// safe retry, although no call has left this host.
TEST_F(RequestRunTest, RefusalStatesNotRunWhenAllCallsAreWithdrawn) {
  StartRun(single_leaf_route_, milliseconds(200));
  ASSERT_EQ(started_.size(), 1U);
  unsent_.insert(started_[0].call);
  AdvanceTo(milliseconds(200));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GT(reply_->retry_after.count(), 0);
}

// Guards against a refusal that states that nothing has run while a leaf has
// received a call.
TEST_F(RequestRunTest, RefusalStatesTimeoutWhenOneCallWasSent) {
  route_.attempts = 1;
  StartRun(route_, milliseconds(200));
  ASSERT_EQ(started_.size(), 4U);
  for (int i = 0; i < 3; ++i) unsent_.insert(started_[i].call);
  AdvanceTo(milliseconds(200));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kTimedOut);
}

// Guards against requests that wait for shards without any leaf.
TEST_F(RequestRunTest, RefusesUnservableRequestWithoutCalls) {
  for (const char* shard : {"s0", "s1"}) {
    directory_.Remove(std::string(shard) + "-a");
    directory_.Remove(std::string(shard) + "-b");
  }
  StartRun(route_);
  EXPECT_TRUE(started_.empty());
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
}

// Guards against requests that wait for leaves that are known not to answer.
TEST_F(RequestRunTest, RefusesAtOnceWhileTooManyShardsDoNotAnswer) {
  StartRun(route_);
  for (int i = 0; i < 2; ++i) Reply(started_[i], Success(kLow));
  AdvanceTo(milliseconds(700));
  EXPECT_FALSE(reply_) << "leaves may still answer the first request";
  const std::vector<StartLeafCall> first = started_;
  started_.clear();
  StartRun(route_);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_TRUE(started_.empty());
  // An answer to an earlier call shows that a leaf has recovered.
  first[2].leaf->OnCallEnded(first[2].sent, clock_.Now(),
                             CallOutcome::kAnswered);
  reply_.reset();
  StartRun(route_);
  EXPECT_FALSE(reply_);
  EXPECT_EQ(started_.size(), 4U);
}

// Guards against an answer that lacks a shard because one leaf is slow.
TEST_F(RequestRunTest, HedgesOverdueCallAtAnotherLeaf) {
  StartRun(route_);
  for (int i = 0; i < 3; ++i) Reply(started_[i], Success(kLow));
  AdvanceTo(milliseconds(60));
  ASSERT_EQ(started_.size(), 5U);
  EXPECT_NE(started_[4].leaf->entry().id, started_[3].leaf->entry().id);
  Reply(started_[4], Success(kHigh));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
  EXPECT_EQ(reply_->reply.body.substr(0, 16), kHigh);
}

// Guards against hedges and retries that together call more leaves than the
// route allows (Route::attempts).
TEST_F(RequestRunTest, UsesNoMoreLeavesThanAttempts) {
  PutLeaf("s3-c", "s3", "b");
  StartRun(route_);
  for (int i = 0; i < 3; ++i) Reply(started_[i], Success(kLow));
  AdvanceTo(milliseconds(60));
  ASSERT_EQ(started_.size(), 5U);
  Fail(started_[3], CallFailure::kMayHaveRun);
  Fail(started_[4], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 5U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 1U);
}

// Guards against merging an unsigned answer, which does not come from the leaf.
TEST_F(RequestRunTest, SuccessWithoutSignatureCountsAsMissing) {
  route_.attempts = 1;
  StartRun(route_);
  for (int i = 0; i < 3; ++i) Reply(started_[i], Success(kLow));
  Reply(started_[3], {.status = 200, .body = kHigh});
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 1U);
  EXPECT_EQ(reply_->reply.body, kLow + kLow);
}

// Guards against a signature that adds entries to the list of a merged answer,
// which then names more parts than it holds (issue 50).
TEST_F(RequestRunTest, SignatureThatIsAListCountsAsMissing) {
  route_.attempts = 1;
  StartRun(route_);
  for (int i = 0; i < 3; ++i) Reply(started_[i], Success(kLow));
  Reply(started_[3],
        {.status = 200, .signature = "sig-c, sig-d", .body = kHigh});
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->signatures, std::vector<std::string>(3, "sig-" + kLow));
  EXPECT_EQ(reply_->missing_shards, 1U);
  EXPECT_EQ(reply_->reply.body, kLow + kLow);
}

TEST_F(RequestRunTest, PassesSingleAnswerThrough) {
  StartRun(single_leaf_route_);
  ASSERT_EQ(started_.size(), 1U);
  Reply(started_[0], Success("whole"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->reply.body, "whole");
  EXPECT_EQ(reply_->reply.signature, "sig-whole");
}

// Guards against a second run of a request that must run at most once.
TEST_F(RequestRunTest, NeverRepeatsNonIdempotentRequestThatMayHaveRun) {
  StartRun(single_leaf_route_);
  AdvanceTo(milliseconds(500));
  EXPECT_EQ(started_.size(), 1U) << "no hedge";
  Fail(started_[0], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 1U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

// Guards against a refusal although another leaf can safely run the request.
TEST_F(RequestRunTest, RepeatsNonIdempotentRequestThatDidNotRun) {
  StartRun(single_leaf_route_);
  Reply(started_[0], Failure(503, /*not_run=*/true));
  ASSERT_EQ(started_.size(), 2U);
  EXPECT_NE(started_[1].leaf->entry().id, started_[0].leaf->entry().id);
  Fail(started_[1], CallFailure::kNotSent);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
}

// Guards against passing on a leaf's status 503, which callers take as a
// promise that nothing ran, although the leaf may have run the request.
TEST_F(RequestRunTest, DoesNotPassOnUnavailableStatusOfLeafThatMayHaveRun) {
  StartRun(single_leaf_route_);
  Reply(started_[0], Failure(503, /*not_run=*/false));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

TEST_F(RequestRunTest, PassesFailureOfLeafThrough) {
  StartRun(single_leaf_route_);
  Reply(started_[0], Failure(500, /*not_run=*/false));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
  EXPECT_EQ(reply_->reply.status, 500);
  EXPECT_EQ(reply_->reply.signature, "sig-f");
}

// Guards against a request that runs beyond its route's timeout.
TEST_F(RequestRunTest, AnswersBeforeTimeoutOfRoute) {
  StartRun(single_leaf_route_, milliseconds(10000));
  AdvanceTo(milliseconds(3000));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kTimedOut);
}

// Guards against a second final answer when a leaf replies after the deadline.
TEST_F(RequestRunTest, RepliesAfterTheFinalAnswerChangeNothing) {
  StartRun(single_leaf_route_, milliseconds(100));
  AdvanceTo(milliseconds(100));
  ASSERT_TRUE(reply_);
  Reply(started_[0], Success("late"));
  EXPECT_EQ(reply_->refusal, Refusal::kTimedOut);
}

// Guards against calls to leaves outside the regions of the route.
TEST_F(RequestRunTest, RestrictedRouteUsesItsRegionsOnly) {
  route_.regions = {"rb"};
  StartRun(route_);
  ASSERT_EQ(started_.size(), 4U);
  for (const StartLeafCall& call : started_)
    EXPECT_EQ(call.leaf->region(), "rb");
}

}  // namespace
}  // namespace berylreach::forward
