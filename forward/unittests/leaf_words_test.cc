// What leaves say of themselves in their answers: that they leave, or that
// they want no calls for a while. Guards against calls that reach them all the
// same.
#include <gtest/gtest.h>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

using std::chrono::seconds;

class LeafWordsTest : public RunFixture {
 protected:
  LeafRecord& Leaf(const std::string& id) { return *directory_.Find(id); }

  /// Whether the leaf is among those that are called when all of the service
  /// are tried one after the other.
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

  void PutBorn(const std::string& id, std::int64_t born) {
    directory_.Put({.id = id,
                    .service = "s0",
                    .address = "127.0.0.1:1",
                    .zone = "a",
                    .slots = 2,
                    .started_unix_ms = born});
  }
};

TEST_F(LeafWordsTest, LeavingLeafGetsNoNewCalls) {
  const auto generation = directory_.generation();
  directory_.MarkLeaving(Leaf("s0-a"));
  EXPECT_NE(directory_.generation(), generation);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  EXPECT_TRUE(IsCalled("s0", "s0-b"));
  Begin(route_);
  for (const StartLeafCall& call : started_)
    EXPECT_NE(call.leaf->entry().id, "s0-a");
  // Hedges and retries neither.
  AdvanceTo(milliseconds(500));
  for (const StartLeafCall& call : started_)
    EXPECT_NE(call.leaf->entry().id, "s0-a");
}

// Discovery lags, and an older read may list the leaf as ready again.
TEST_F(LeafWordsTest, DiscoveryDoesNotTakeTheWordBack) {
  PutBorn("s0-a", 5);
  directory_.MarkLeaving(Leaf("s0-a"));
  PutBorn("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  directory_.OnStoreLost();
  directory_.OnStoreRegained();
  directory_.Remove("s0-a");
  clock_.Advance(seconds(3));
  directory_.Tick();
  EXPECT_EQ(directory_.Find("s0-a"), nullptr);
  PutBorn("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  PutBorn("s0-a", 9);
  EXPECT_TRUE(IsCalled("s0", "s0-a")) << "another incarnation starts clean";
  PutBorn("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a")) << "an older read of the former one";
}

// The clock of a leaf's machine may be set back between two starts.
TEST_F(LeafWordsTest, AnotherStartIsAnotherIncarnationWhateverItsTime) {
  PutBorn("s0-a", 9);
  directory_.MarkLeaving(Leaf("s0-a"));
  PutBorn("s0-a", 5);
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// An answer may come after the leaf's entry has gone, or has been replaced.
TEST_F(LeafWordsTest, LateWordHoldsForTheIncarnationThatSaidIt) {
  PutBorn("s0-a", 5);
  const auto former = directory_.Find("s0-a");
  PutBorn("s0-a", 9);
  directory_.MarkLeaving(*former);
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
  PutBorn("s0-a", 5);
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  const auto removed = directory_.Find("s0-b");
  directory_.Remove("s0-b");
  directory_.Pause(*removed, clock_.Now() + seconds(5));
  PutLeaf("s0-b", "s0", "b");
  EXPECT_FALSE(IsCalled("s0", "s0-b"));
}

TEST_F(LeafWordsTest, AnswersOfALeavingLeafAreUsed) {
  Begin(route_);
  Leaf("s0-a").MarkLeaving();
  for (std::size_t i = 0; i < 4; ++i)
    Reply(started_[i], Success("record----------"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing, 0U);
}

TEST_F(LeafWordsTest, PausedLeafGetsNoCallsUntilTheLatestEnd) {
  const base::TimePoint now = clock_.Now();
  Leaf("s0-a").PauseUntil(now + seconds(2));
  Leaf("s0-a").PauseUntil(now + seconds(1));
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(milliseconds(1999));
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(milliseconds(1));
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against callers who all come at once when a pause is over.
TEST_F(LeafWordsTest, OneCallTriesALeafAfterItsPause) {
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

TEST_F(LeafWordsTest, AnswerOfACallBeforeThePauseDoesNotEndTheTrial) {
  LeafRecord& leaf = Leaf("s0-a");
  const base::TimePoint early = clock_.Now();
  leaf.OnCallSent(early);
  leaf.PauseUntil(clock_.Now() + seconds(1));
  leaf.OnCallEnded(early, clock_.Now(), CallOutcome::kAnswered);
  clock_.Advance(seconds(1));
  leaf.OnCallSent(clock_.Now());
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
}

TEST_F(LeafWordsTest, PauseOutlastsTheListing) {
  Leaf("s0-a").PauseUntil(clock_.Now() + seconds(20));
  directory_.Replace({});
  EXPECT_EQ(directory_.size(), 0U);
  PutLeaf("s0-a", "s0", "a");
  EXPECT_FALSE(IsCalled("s0", "s0-a"));
  clock_.Advance(seconds(20));
  EXPECT_TRUE(IsCalled("s0", "s0-a"));
}

// Guards against callers who are held although no leaf takes their request.
TEST_F(LeafWordsTest, AllPausedIsRefusedAtOnceUntilTheEarliestEnd) {
  Leaf("f-a").PauseUntil(clock_.Now() + seconds(8));
  Leaf("f-b").PauseUntil(clock_.Now() + seconds(5));
  Begin(single_, milliseconds(3000));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GE(reply_->retry_after, seconds(5));
  EXPECT_LT(reply_->retry_after, seconds(6));
}

TEST_F(LeafWordsTest, AllLeavingIsRefusedAtOnce) {
  directory_.MarkLeaving(Leaf("f-a"));
  directory_.MarkLeaving(Leaf("f-b"));
  Begin(single_, milliseconds(3000));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
}

TEST_F(LeafWordsTest, PausedShardsCountAsMissingAtOnce) {
  for (const char* id : {"s0-a", "s0-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(2));
  Begin(route_);
  ASSERT_EQ(started_.size(), 3U);
  for (std::size_t i = 0; i < 3; ++i)
    Reply(started_[i], Success("record----------"));
  ASSERT_TRUE(reply_) << "the answer does not wait for the pause";
  EXPECT_EQ(reply_->missing, 1U);
}

TEST_F(LeafWordsTest, CoverageOutOfReachIsRefusedUntilEnoughPausesEnd) {
  for (const char* id : {"s0-a", "s0-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(9));
  for (const char* id : {"s1-a", "s1-b"})
    Leaf(id).PauseUntil(clock_.Now() + seconds(4));
  Begin(route_);
  EXPECT_TRUE(started_.empty());
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GE(reply_->retry_after, seconds(4));
  EXPECT_LT(reply_->retry_after, seconds(5));
}

// A 503 without the word that nothing has run is no promise.
TEST_F(LeafWordsTest, PauseThatMayHaveRunIsNotRepeatedNorPromised) {
  Begin(single_, milliseconds(3000));
  LeafReply reply = Failure(503, /*not_run=*/false);
  reply.pause = milliseconds(200);
  Reply(started_[0], std::move(reply));
  EXPECT_EQ(started_.size(), 1U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
}

}  // namespace
}  // namespace berylreach::forward
