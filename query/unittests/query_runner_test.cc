// Guards against answers that are late, mixed or misstated, one mechanism of
// the query runner at a time.
#include "berylreach/query/query_runner.h"

#include "runner_fixture.h"

namespace berylreach::query {
namespace {

using model::ErrorCode;
using model::MissingReason;
using model::Ran;

class QueryRunnerTest : public RunnerFixture {};

TEST_F(QueryRunnerTest, ProvenQueryFansOutAndAnswersInShardOrder) {
  Start();
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_EQ(sent_[0].to.value, "h0");
  for (std::size_t i : {2, 0, 1}) Answer(i);
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(FinalAnswer().version, 7U);
  EXPECT_EQ(FinalAnswer().results[1].shard, 1U);
  EXPECT_EQ(FinalAnswer().coverage, (model::Coverage{3, 3, {}}));
  EXPECT_TRUE(runner_->done());
}

// An unproven request that kills its leaf must not reach every shard.
TEST_F(QueryRunnerTest, UnprovenQueryRunsOnOneLeafFirst) {
  Start(false);
  ASSERT_EQ(sent_.size(), 1U);
  Answer(0);
  EXPECT_EQ(sent_.size(), 3U);
}

TEST_F(QueryRunnerTest, EmptyLeafTableIsRefusedAtOnce) {
  FakeContext empty(clock_, 3, 2);
  QueryRunner runner(clock_, empty, request_);
  std::vector<Action> out;
  runner.Start(out);
  const auto& refusal =
      std::get<model::Refusal>(std::get<Finish>(out.at(0)).reply);
  EXPECT_EQ(refusal.code, ErrorCode::kNoSnapshot);
  EXPECT_EQ(refusal.ran, Ran::kNotRun);
  EXPECT_GT(refusal.retry_after.count(), 0);
  EXPECT_NE(refusal.message.find("0 of 3 shards"), std::string::npos);
}

TEST_F(QueryRunnerTest, SlowShardIsHedgedOnceAndTheLoserCancelled) {
  policy_.hedges_per_shard = 1;
  WarmLatency();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(9));
  EXPECT_EQ(sent_.size(), 3U);
  EXPECT_EQ(runner_->NextWakeup(), clock_.Now() + milliseconds(1));
  Wait(milliseconds(1));
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_TRUE(sent_[3].call.extra);
  EXPECT_NE(sent_[3].call.leaf, sent_[2].call.leaf);
  Wait(milliseconds(50));
  EXPECT_EQ(sent_.size(), 4U);
  Answer(3);
  ASSERT_EQ(cancelled_.size(), 1U);
  EXPECT_EQ(cancelled_[0].id, sent_[2].call.id);
  EXPECT_EQ(replies_.size(), 1U);
  Answer(2);
  EXPECT_EQ(replies_.size(), 1U);
}

TEST_F(QueryRunnerTest, HedgesStopWhenTheBudgetIsSpent) {
  WarmLatency();
  while (context_.hedge_budget.TrySpend()) continue;
  Start();
  Wait(milliseconds(10));
  EXPECT_EQ(sent_.size(), 3U);
  context_.hedge_budget.Refund();
  Wait(QueryRunner::kHedgeRetryInterval);
  EXPECT_EQ(sent_.size(), 4U);
}

// Without the refund, hedges that never reached a leaf would use up the budget.
TEST_F(QueryRunnerTest, HedgeWithdrawnBeforeItsStartIsRefunded) {
  WarmLatency();
  while (context_.hedge_budget.TrySpend()) continue;
  context_.hedge_budget.Refund();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(10));
  Answer(2);
  ASSERT_EQ(cancelled_.at(0).id, sent_.at(3).call.id);
  EXPECT_TRUE(runner_->finished());
  EXPECT_FALSE(runner_->done());
  EXPECT_FALSE(context_.hedge_budget.TrySpend());
  Answer(3, LeafOutcome::kNotSent);
  EXPECT_TRUE(runner_->done());
  EXPECT_TRUE(context_.hedge_budget.TrySpend());
}

// With queues at both replicas the two copies would start together and double
// the work of a congested shard.
TEST_F(QueryRunnerTest, HedgeReplacesACallThatIsStillQueued) {
  policy_.move_queued = true;
  WarmLatency();
  while (context_.hedge_budget.TrySpend()) continue;
  context_.hedge_budget.Refund();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(10));
  ASSERT_EQ(moved_.size(), 1U);
  EXPECT_EQ(moved_[0].id, sent_[2].call.id);
  EXPECT_TRUE(cancelled_.empty());
  Answer(2, LeafOutcome::kNotSent);
  EXPECT_EQ(sent_.size(), 4U);
  EXPECT_TRUE(context_.hedge_budget.TrySpend());
  Answer(3);
  EXPECT_EQ(FinalAnswer().coverage.shards_answered, 3U);
}

// Otherwise the shard would have no call left and wait for the deadline.
TEST_F(QueryRunnerTest, MovedCallIsRetriedIfItsHedgeHasFailed) {
  policy_.move_queued = true;
  WarmLatency();
  Start();
  Wait(milliseconds(10));
  ASSERT_EQ(sent_.size(), 6U);
  Answer(3, LeafOutcome::kShed);
  Answer(0, LeafOutcome::kNotSent);
  ASSERT_EQ(sent_.size(), 7U);
  EXPECT_EQ(sent_[6].call.leaf, sent_[0].call.leaf);
}

TEST_F(QueryRunnerTest, SecondHedgeReturnsToATriedLeaf) {
  WarmLatency();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(10));
  Wait(milliseconds(10));
  EXPECT_EQ(sent_.size(), 5U);
}

// The last shard holds up the query and is hedged earlier than the others.
TEST_F(QueryRunnerTest, LastShardIsHedgedEarlier) {
  policy_.last_shards = 1;
  policy_.last_quantile = 0.5;
  for (int i = 0; i < 100; ++i) context_.latency.Add(milliseconds(i));
  Start();
  Wait(milliseconds(60));
  EXPECT_EQ(sent_.size(), 3U);
  Answer(0);
  EXPECT_EQ(sent_.size(), 3U);
  Answer(1);
  EXPECT_EQ(sent_.size(), 4U);
}

// Waiting longer as the budget is spent leaves some for real stragglers.
TEST_F(QueryRunnerTest, HedgeDelayRisesAsTheBudgetIsSpent) {
  policy_.quantile = 0.5;
  policy_.scarce_quantile = 0.9;
  policy_.last_shards = 0;
  for (int i = 0; i < 101; ++i) context_.latency.Add(milliseconds(i));
  Start();
  EXPECT_EQ(runner_->NextWakeup(), clock_.Now() + milliseconds(50));
  while (context_.hedge_budget.TrySpend()) continue;
  Start();
  EXPECT_GE(runner_->NextWakeup(), clock_.Now() + milliseconds(85));
}

// Dropping slow calls from the window would sink the hedge delay.
TEST_F(QueryRunnerTest, CancelledFirstCallsCountInTheLatencyWindow) {
  WarmLatency();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(40));
  Answer(3);
  EXPECT_EQ(context_.latency.Quantile(1.0), milliseconds(40));
}

TEST_F(QueryRunnerTest, FailedCallIsRetriedOnAnotherLeafWithinTheBudget) {
  Start();
  Answer(0, LeafOutcome::kShed);
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_NE(sent_[3].call.leaf, sent_[0].call.leaf);
  while (context_.retry_budget.TrySpend()) continue;
  Answer(1, LeafOutcome::kLost);
  EXPECT_EQ(sent_.size(), 4U);
  Answer(2);
  Answer(3);
  EXPECT_EQ(FinalAnswer().coverage,
            (model::Coverage{2, 3, {{1, MissingReason::kFailed}}}));
}

TEST_F(QueryRunnerTest, OverloadIsRefusedAtOnceWithRetryAfter) {
  Start();
  for (std::size_t i = 0; i < 6; ++i) {
    auto reply = ReplyTo(sent_.at(i).call, LeafOutcome::kOverloaded);
    reply.retry_after = milliseconds(40 + i);
    Deliver(reply);
  }
  EXPECT_EQ(FinalRefusal().code, ErrorCode::kOverloaded);
  EXPECT_EQ(FinalRefusal().ran, Ran::kNotRun);
  EXPECT_EQ(FinalRefusal().retry_after, milliseconds(45));
}

// A not-run claim would be false once a call was withdrawn or lost.
TEST_F(QueryRunnerTest, RefusalAfterALostCallSaysMayHaveRun) {
  Start();
  Answer(0, LeafOutcome::kLost);
  for (std::size_t i = 1; i < 6; ++i) Answer(i, LeafOutcome::kShed);
  EXPECT_EQ(FinalRefusal().ran, Ran::kMayHaveRun);
}

TEST_F(QueryRunnerTest, CoverageOutOfReachIsRefusedAtOnce) {
  request_.min_coverage = 0.9;
  Start();
  Answer(0);
  Answer(1, LeafOutcome::kShed);
  Answer(3, LeafOutcome::kShed);
  EXPECT_EQ(FinalRefusal().code, ErrorCode::kInsufficientCoverage);
  EXPECT_EQ(cancelled_.at(0).id, sent_[2].call.id);
}

TEST_F(QueryRunnerTest, DeadlineGivesAPartialAnswer) {
  Start();
  Answer(0);
  Answer(2);
  EXPECT_EQ(runner_->NextWakeup(), request_.deadline);
  Wait(milliseconds(1000));
  EXPECT_EQ(FinalAnswer().coverage,
            (model::Coverage{2, 3, {{1, MissingReason::kTimedOut}}}));
}

TEST_F(QueryRunnerTest, CallsEndWithTheServingLease) {
  context_.lease = milliseconds(300);
  Start();
  EXPECT_EQ(sent_[0].call.budget, milliseconds(300));
  context_.lease = milliseconds(0);
  Answer(0, LeafOutcome::kShed);
  EXPECT_EQ(sent_.size(), 3U);
}

// A reply of another version, shard or partition must not enter the answer.
TEST_F(QueryRunnerTest, MismatchedRepliesAreFailures) {
  Start();
  auto version = ReplyTo(sent_[0].call);
  version.version = 8;
  Deliver(version);
  auto shard = ReplyTo(sent_[1].call);
  shard.shard = 0;
  Deliver(shard);
  auto partition = ReplyTo(sent_[2].call);
  partition.shard_count = 4;
  Deliver(partition);
  ASSERT_EQ(sent_.size(), 6U);
  auto leaf = ReplyTo(sent_[3].call);
  leaf.leaf = {"other"};
  Deliver(leaf);
  Answer(4);
  Answer(5);
  EXPECT_EQ(FinalAnswer().coverage,
            (model::Coverage{2, 3, {{0, MissingReason::kFailed}}}));
}

// After a change of members the only leaf of a shard must not count as tried.
TEST_F(QueryRunnerTest, LeafIsTriedAgainAtItsNewOwner) {
  auto environment = context_.environment;
  environment.services[0].leaves.resize(3);
  context_.environment = environment;
  ++context_.document_version;
  Start();
  context_.members.erase(context_.members.begin());
  context_.ownership =
      routing::OwnershipTable(2, 2, environment, context_.members);
  Answer(0, LeafOutcome::kNotOwner);
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_EQ(sent_[3].call.leaf, sent_[0].call.leaf);
  EXPECT_EQ(sent_[3].to.value, "h1");
}

TEST_F(QueryRunnerTest, LostMemberMovesItsCalls) {
  Start();
  std::vector<Action> out;
  runner_->OnMemberRemoved({"h0"}, out);
  int moved = 0;
  for (const Action& action : out) {
    const auto* send = std::get_if<SendCall>(&action);
    if (send != nullptr && send->to.value == "h1") ++moved;
  }
  EXPECT_EQ(moved, 3);
}

// Guards against queries that wait for their hedges and the retry budget after
// the loss of an owner.
TEST_F(QueryRunnerTest, LostConnectionMovesCallsWithoutRetryBudget) {
  while (context_.retry_budget.TrySpend()) {
  }
  Start();
  std::vector<Action> out;
  runner_->OnPeerDisconnected({"h0"}, out);
  const auto moved =
      std::count_if(out.begin(), out.end(), [](const Action& action) {
        const auto* send = std::get_if<SendCall>(&action);
        return send != nullptr && send->to.value == "h1";
      });
  EXPECT_EQ(moved, 3);
}

// A suspect runs at most once at a time, and its run may still go on.
TEST_F(QueryRunnerTest, LostConnectionRepeatsNoCallThatRunsAlone) {
  std::vector<quarantine::Action> published;
  const auto fingerprint = quarantine::FingerprintOf(request_);
  context_.suspects.OnLeafCrash({{fingerprint, false}}, published);
  Start(/*proven=*/false);
  ASSERT_EQ(sent_.size(), 1U);
  std::vector<Action> out;
  runner_->OnPeerDisconnected(sent_[0].to, out);
  EXPECT_TRUE(out.empty());
}

TEST_F(QueryRunnerTest, CancelledRequestWithdrawsItsCallsAndAnswersNobody) {
  Start();
  std::vector<Action> out;
  runner_->Cancel(out);
  EXPECT_EQ(out.size(), 3U);
  EXPECT_TRUE(runner_->finished());
  Answer(0);
  EXPECT_TRUE(replies_.empty());
}

TEST_F(QueryRunnerTest, LookupGoesToTheShardOfItsKey) {
  request_.kind = model::RequestKind::kLookup;
  std::vector<std::uint32_t> seen(3);
  for (int i = 0; i < 30; ++i) {
    request_.key = "key" + std::to_string(i);
    sent_.clear();
    replies_.clear();
    Start(false);
    ASSERT_EQ(sent_.size(), 1U);
    ++seen[sent_[0].call.shard];
    Answer(0);
    EXPECT_EQ(FinalAnswer().coverage, (model::Coverage{1, 1, {}}));
  }
  EXPECT_GT(*std::min_element(seen.begin(), seen.end()), 0U);
}

class ReplanTest : public RunnerFixture {};

TEST_F(ReplanTest, GoneVersionIsRetriedOnAReplicaFirst) {
  Start();
  Answer(0, LeafOutcome::kVersionGone);
  EXPECT_EQ(sent_.at(3).call.version, 7U);
  EXPECT_EQ(sent_.at(3).call.shard, 0U);
}

// Keeping a result of the first version would mix two snapshots.
TEST_F(ReplanTest, GoneVersionReplansAndDiscardsResults) {
  Start();
  Answer(0);
  context_.Hold(0, {8});
  context_.Hold(1, {8});
  Answer(1, LeafOutcome::kVersionGone);
  ASSERT_EQ(sent_.size(), 6U);
  EXPECT_EQ(cancelled_.size(), 1U);
  Answer(2);
  for (std::size_t i = 3; i < 6; ++i) Answer(i);
  EXPECT_EQ(FinalAnswer().version, 8U);
  for (const auto& result : FinalAnswer().results) {
    EXPECT_EQ(result.result, "8");
  }
}

TEST_F(ReplanTest, WithoutAnotherVersionTheAnswerIsPartial) {
  Start();
  Answer(0);
  Answer(1);
  Answer(2, LeafOutcome::kVersionGone);
  Answer(3, LeafOutcome::kVersionGone);
  EXPECT_EQ(FinalAnswer().coverage,
            (model::Coverage{2, 3, {{2, MissingReason::kVersionGone}}}));
}

}  // namespace
}  // namespace berylreach::query
