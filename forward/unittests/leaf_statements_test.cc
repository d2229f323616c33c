// Guards against calls to leaves that have stated in an answer that they are
// leaving, or that they accept no calls for some time.
#include <gtest/gtest.h>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

using std::chrono::seconds;

class LeafStatementsTest : public RunFixture {
 protected:
  LeafRecord& Leaf(const std::string& id) { return *directory_.Find(id); }

  /// Whether the leaf is among those called when all leaves of the service are
  /// tried one after the other.
  bool IsCalled(const std::string& service, const std::string& id) {
    const Service wanted{.name = service, .max_connections = 25};
    std::vector<std::string> tried;
    while (const auto leaf =
               selector_.Choose({.service = &wanted, .tried = &tried})) {
      if (leaf->entry().id == id) return true;
      tried.push_back(leaf->entry().id);
    }
    return false;
  }

  void PutStartedAt(const std::string& id, std::uint64_t start_ms) {
    directory_.Put({.id = id,
                    .service = "s0",
                    .address = "127.0.0.1:1",
                    .zone = "a",
                    .slots = 2,
                    .started_unix_ms = start_ms});
  }
};

// Guards against first calls, hedges and retries to a leaf that is leaving.
TEST_F(LeafStatementsTest, LeavingLeafGetsNoNewCalls) {
  const auto generation = directory_.generation();
  directory_.MarkLeaving(Leaf("s0-a"));
  EXPECT_NE(directory_.generation(), generation);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  EXPECT_TRUE(IsCalled("s0", "s0-b"));
  StartRun(route_);
  for (const StartLeafCall& call : started_)
    EXPECT_NE(call.leaf->entry().id, "s0-a");
  // Nor do hedges or retries.
  AdvanceTo(milliseconds(500));
  for (const StartLeafCall& call : started_)
    EXPECT_NE(call.leaf->entry().id, "s0-a");
}

// Guards against new calls to a leaving leaf because service discovery lists it
// as ready. Discovery lags, and an outdated read may list the leaf again.
TEST_F(LeafStatementsTest, DiscoveryDoesNotRevokeTheStatement) {
  PutStartedAt("s0-a", 5);
  directory_.MarkLeaving(Leaf("s0-a"));
  PutStartedAt("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  directory_.OnStoreLost();
  directory_.OnStoreRegained();
  directory_.Remove("s0-a");
  clock_.Advance(seconds(3));
  directory_.Tick();
  EXPECT_EQ(directory_.Find("s0-a"), nullptr);
  PutStartedAt("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  PutStartedAt("s0-a", 9);
  EXPECT_TRUE(IsCalled("s0", "s0-a"))
      << "the statement does not apply to a new incarnation";
  PutStartedAt("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"))
      << "an outdated read of the former incarnation";
}

// Guards against applying the statement of a former incarnation to a new one
// whose start time is earlier, because the clock of the leaf's machine was set
// back.
TEST_F(LeafStatementsTest,
       DifferentStartTimeIsAnotherIncarnationEvenIfEarlier) {
  PutStartedAt("s0-a", 9);
  directory_.MarkLeaving(Leaf("s0-a"));
  PutStartedAt("s0-a", 5);
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against applying a statement to the wrong incarnation, or losing it,
// if the answer arrives after the leaf's entry was removed or replaced.
TEST_F(LeafStatementsTest, LateStatementAppliesToTheIncarnationThatMadeIt) {
  PutStartedAt("s0-a", 5);
  const auto former = directory_.Find("s0-a");
  PutStartedAt("s0-a", 9);
  directory_.MarkLeaving(*former);
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
  PutStartedAt("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  const auto removed = directory_.Find("s0-b");
  directory_.Remove("s0-b");
  directory_.Pause(*removed, clock_.Now() + seconds(5));
  PutLeaf("s0-b", "s0", "b");
  EXPECT_FALSE(IsCalled("s0", "s0-b"));
}

// Guards against dropping the answers of calls that were sent before the leaf
// started to leave.
TEST_F(LeafStatementsTest, AnswersOfALeavingLeafAreUsed) {
  StartRun(route_);
  Leaf("s0-a").MarkLeaving();
  for (std::size_t i = 0; i < 4; ++i)
    Reply(started_[i], Success("record----------"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against a later statement with an earlier end that shortens a pause.
TEST_F(LeafStatementsTest, PausedLeafGetsNoCallsUntilTheLatestEnd) {
  const base::TimePoint now = clock_.Now();
  Leaf("s0-a").PauseUntil(now + seconds(2));
  Leaf("s0-a").PauseUntil(now + seconds(1));
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(milliseconds(1999));
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(milliseconds(1));
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against overloading a leaf at the end of its pause, because all
// waiting requests call it at once.
TEST_F(LeafStatementsTest, LeafGetsOneTrialCallAfterItsPause) {
  LeafRecord& leaf = Leaf("s0-a");
  leaf.PauseUntil(clock_.Now() + seconds(1));
  clock_.Advance(seconds(1));
  const base::TimePoint sent = clock_.Now();
  leaf.OnCallSent(sent);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(milliseconds(10));
  leaf.OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
  leaf.OnCallSent(clock_.Now());
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against taking the answer of a call that was sent before the pause as
// evidence that the leaf accepts calls again.
TEST_F(LeafStatementsTest, AnswerOfACallBeforeThePauseDoesNotEndTheTrial) {
  LeafRecord& leaf = Leaf("s0-a");
  const base::TimePoint early = clock_.Now();
  leaf.OnCallSent(early);
  leaf.PauseUntil(clock_.Now() + seconds(1));
  leaf.OnCallEnded(early, clock_.Now(), CallOutcome::kAnswered);
  clock_.Advance(seconds(1));
  leaf.OnCallSent(clock_.Now());
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
}

// Guards against a pause that is forgotten when the entry is listed again.
TEST_F(LeafStatementsTest, PauseOutlastsTheListing) {
  Leaf("s0-a").PauseUntil(clock_.Now() + seconds(20));
  directory_.Replace({});
  EXPECT_EQ(directory_.size(), 0U);
  PutLeaf("s0-a", "s0", "a");
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(seconds(20));
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against callers who wait although no leaf accepts their request.
TEST_F(LeafStatementsTest, AllPausedIsRefusedAtOnceUntilTheEarliestEnd) {
  Leaf("f-a").PauseUntil(clock_.Now() + seconds(8));
  Leaf("f-b").PauseUntil(clock_.Now() + seconds(5));
  StartRun(single_leaf_route_, milliseconds(3000));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GE(reply_->retry_after, seconds(5));
  EXPECT_LT(reply_->retry_after, seconds(6));
}

// Guards against callers who wait although all leaves of the service are
// leaving.
TEST_F(LeafStatementsTest, AllLeavingIsRefusedAtOnce) {
  directory_.MarkLeaving(Leaf("f-a"));
  directory_.MarkLeaving(Leaf("f-b"));
  StartRun(single_leaf_route_, milliseconds(3000));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
}

// Guards against answers that wait for shards whose leaves are paused although
// the answer may lack them.
TEST_F(LeafStatementsTest, PausedShardsCountAsMissingAtOnce) {
  for (const char* id : {"s0-a", "s0-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(2));
  StartRun(route_);
  ASSERT_EQ(started_.size(), 3U);
  for (std::size_t i = 0; i < 3; ++i)
    Reply(started_[i], Success("record----------"));
  ASSERT_TRUE(reply_) << "the answer does not wait for the pause";
  EXPECT_EQ(reply_->missing_shards, 1U);
}

// Guards against advising a retry before enough shards for the minimum coverage
// accept calls again, or much later.
TEST_F(LeafStatementsTest, CoverageOutOfReachIsRefusedUntilEnoughPausesEnd) {
  for (const char* id : {"s0-a", "s0-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(9));
  for (const char* id : {"s1-a", "s1-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(4));
  StartRun(route_);
  EXPECT_TRUE(started_.empty());
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GE(reply_->retry_after, seconds(4));
  EXPECT_LT(reply_->retry_after, seconds(5));
}

// Guards against a second run of a request after a status 503 that does not
// state that the leaf has not run the call.
TEST_F(LeafStatementsTest, PauseAfterCallThatMayHaveRunIsNotRetried) {
  StartRun(single_leaf_route_, milliseconds(3000));
  LeafReply reply = Failure(503, /*not_run=*/false);
  reply.requested_pause = milliseconds(200);
  Reply(started_[0], std::move(reply));
  EXPECT_EQ(started_.size(), 1U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

}  // namespace
}  // namespace berylreach::forward
