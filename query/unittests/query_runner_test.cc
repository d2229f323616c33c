// Guards against answers that are late, mix snapshots or report a wrong
// coverage. Each test covers one mechanism of the query runner.
#include "berylreach/query/query_runner.h"

#include "runner_fixture.h"

namespace berylreach::query {
namespace {

using model::ErrorCode;
using model::ExecutionStatus;
using model::MissingReason;

class QueryRunnerTest : public RunnerFixture {};

// Guards against proven queries that wait for a canary, and against answers
// that depend on the order of the replies.
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

// Guards against an unproven request that crashes the leaves of every shard.
TEST_F(QueryRunnerTest, UnprovenQueryRunsOnOneLeafFirst) {
  Start(false);
  ASSERT_EQ(sent_.size(), 1U);
  Answer(0);
  EXPECT_EQ(sent_.size(), 3U);
}

// Guards against queries that wait for their deadline although no leaf is
// usable.
TEST_F(QueryRunnerTest, EmptyLeafTableIsRefusedAtOnce) {
  FakeContext empty(clock_, 3, 2);
  QueryRunner runner(clock_, empty, request_);
  std::vector<Action> out;
  runner.Start(out);
  const auto& refusal =
      std::get<model::Refusal>(std::get<Finish>(out.at(0)).reply);
  EXPECT_EQ(refusal.code, ErrorCode::kNoSnapshot);
  EXPECT_EQ(refusal.execution, ExecutionStatus::kNotRun);
  EXPECT_GT(refusal.retry_after.count(), 0);
  EXPECT_NE(refusal.message.find("0 of 3 shards"), std::string::npos);
}

// Guards against hedges that are sent too early, more than once or to the same
// leaf, and against calls that continue after another copy has answered.
TEST_F(QueryRunnerTest, SlowShardIsHedgedOnceAndTheSlowerCallCancelled) {
  policy_.hedges_per_shard = 1;
  FillLatencyWindow();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(9));
  EXPECT_EQ(sent_.size(), 3U);
  EXPECT_EQ(runner_->NextWakeup(), clock_.Now() + milliseconds(1));
  Wait(milliseconds(1));
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_TRUE(sent_[3].call.is_extra_load);
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

// Guards against hedges beyond the budget, and against a due hedge that is
// never sent after the budget has refilled.
TEST_F(QueryRunnerTest, HedgesStopWhenTheBudgetIsSpent) {
  FillLatencyWindow();
  while (context_.hedge_budget.TrySpend()) continue;
  Start();
  Wait(milliseconds(10));
  EXPECT_EQ(sent_.size(), 3U);
  context_.hedge_budget.Refund();
  Wait(QueryRunner::kHedgeRetryInterval);
  EXPECT_EQ(sent_.size(), 4U);
}

// Guards against a hedge budget that is used up by hedges that never reached a
// leaf.
TEST_F(QueryRunnerTest, HedgeCancelledBeforeItStartsIsRefunded) {
  FillLatencyWindow();
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

// Guards against a hedge that doubles the load of a congested shard: if both
// replicas have queues, the call and its hedge would start at about the same
// time.
TEST_F(QueryRunnerTest, HedgeReplacesACallThatIsStillQueued) {
  policy_.move_queued = true;
  FillLatencyWindow();
  while (context_.hedge_budget.TrySpend()) continue;
  context_.hedge_budget.Refund();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(10));
  ASSERT_EQ(cancelled_if_queued_.size(), 1U);
  EXPECT_EQ(cancelled_if_queued_[0].id, sent_[2].call.id);
  EXPECT_TRUE(cancelled_.empty());
  Answer(2, LeafOutcome::kNotSent);
  EXPECT_EQ(sent_.size(), 4U);
  EXPECT_TRUE(context_.hedge_budget.TrySpend());
  Answer(3);
  EXPECT_EQ(FinalAnswer().coverage.shards_answered, 3U);
}

// Guards against a shard that waits for the deadline without any call, because
// its hedge failed before the replaced call was dropped from the queue.
TEST_F(QueryRunnerTest, ReplacedCallIsRetriedIfItsHedgeHasFailed) {
  policy_.move_queued = true;
  FillLatencyWindow();
  Start();
  Wait(milliseconds(10));
  ASSERT_EQ(sent_.size(), 6U);
  Answer(3, LeafOutcome::kShed);
  Answer(0, LeafOutcome::kNotSent);
  ASSERT_EQ(sent_.size(), 7U);
  EXPECT_EQ(sent_[6].call.leaf, sent_[0].call.leaf);
}

// Guards against a slow shard that gets no second hedge because all its
// replicas have been tried.
TEST_F(QueryRunnerTest, SecondHedgeReturnsToATriedLeaf) {
  FillLatencyWindow();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(10));
  Wait(milliseconds(10));
  EXPECT_EQ(sent_.size(), 5U);
}

// Guards against a late reply: the last open shard delays the whole reply, so
// it must be hedged earlier than the other shards.
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

// Guards against a hedge budget that is spent on ordinary calls, so that none
// is left for real stragglers.
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

// Guards against a hedge delay that shrinks because slow calls, which are
// cancelled, are missing from the latency window.
TEST_F(QueryRunnerTest, CancelledFirstCallsCountInTheLatencyWindow) {
  FillLatencyWindow();
  Start();
  Answer(0);
  Answer(1);
  Wait(milliseconds(40));
  Answer(3);
  EXPECT_EQ(context_.latency.Quantile(1.0), milliseconds(40));
}

// Guards against retries at the same leaf or beyond the budget, which multiply
// the load during failures.
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

// Guards against overload that is reported late, without a retry time, or as if
// the request may have run.
TEST_F(QueryRunnerTest, OverloadIsRefusedAtOnceWithRetryAfter) {
  Start();
  for (std::size_t i = 0; i < 6; ++i) {
    auto reply = ReplyTo(sent_.at(i).call, LeafOutcome::kOverloaded);
    reply.retry_after = milliseconds(40 + i);
    Deliver(reply);
  }
  EXPECT_EQ(FinalRefusal().code, ErrorCode::kOverloaded);
  EXPECT_EQ(FinalRefusal().execution, ExecutionStatus::kNotRun);
  EXPECT_EQ(FinalRefusal().retry_after, milliseconds(45));
}

// Guards against a refusal that claims "not run" although a call was cancelled
// or lost and may have run.
TEST_F(QueryRunnerTest, RefusalAfterALostCallSaysMayHaveRun) {
  Start();
  Answer(0, LeafOutcome::kLost);
  for (std::size_t i = 1; i < 6; ++i) Answer(i, LeafOutcome::kShed);
  EXPECT_EQ(FinalRefusal().execution, ExecutionStatus::kMayHaveRun);
}

// Guards against calls that continue although too few shards can still answer.
TEST_F(QueryRunnerTest, CoverageOutOfReachIsRefusedAtOnce) {
  request_.minimum_coverage = 0.9;
  Start();
  Answer(0);
  Answer(1, LeafOutcome::kShed);
  Answer(3, LeafOutcome::kShed);
  EXPECT_EQ(FinalRefusal().code, ErrorCode::kInsufficientCoverage);
  EXPECT_EQ(cancelled_.at(0).id, sent_[2].call.id);
}

// Guards against results that are discarded because one shard is late.
TEST_F(QueryRunnerTest, DeadlineGivesAPartialAnswer) {
  Start();
  Answer(0);
  Answer(2);
  EXPECT_EQ(runner_->NextWakeup(), request_.deadline);
  Wait(milliseconds(1000));
  EXPECT_EQ(FinalAnswer().coverage,
            (model::Coverage{2, 3, {{1, MissingReason::kTimedOut}}}));
}

// Guards against leaf calls that run after the serving lease has expired.
TEST_F(QueryRunnerTest, CallsEndWithTheServingLease) {
  context_.lease = milliseconds(300);
  Start();
  EXPECT_EQ(sent_[0].call.budget, milliseconds(300));
  context_.lease = milliseconds(0);
  Answer(0, LeafOutcome::kShed);
  EXPECT_EQ(sent_.size(), 3U);
}

// Guards against answers that contain a result of another version, shard or
// partition.
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

// Guards against a shard that is reported missing although its only leaf has a
// new owner: the leaf must not count as tried.
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

// Guards against queries that wait for replies of a removed member.
TEST_F(QueryRunnerTest, CallsOfARemovedMemberAreSentAgain) {
  Start();
  std::vector<Action> out;
  runner_->OnMemberRemoved({"h0"}, out);
  int resent = 0;
  for (const Action& action : out) {
    const auto* send = std::get_if<SendCall>(&action);
    if (send != nullptr && send->to.value == "h1") ++resent;
  }
  EXPECT_EQ(resent, 3);
}

// Guards against queries that wait for hedges or the retry budget after the
// connection to an owner is lost.
TEST_F(QueryRunnerTest, LostConnectionRepeatsCallsWithoutRetryBudget) {
  while (context_.retry_budget.TrySpend()) {
  }
  Start();
  std::vector<Action> out;
  runner_->OnPeerDisconnected({"h0"}, out);
  const auto resent =
      std::count_if(out.begin(), out.end(), [](const Action& action) {
        const auto* send = std::get_if<SendCall>(&action);
        return send != nullptr && send->to.value == "h1";
      });
  EXPECT_EQ(resent, 3);
}

// Guards against two concurrent runs of a suspect request: its first run may
// continue after the connection to the arbiter is lost.
TEST_F(QueryRunnerTest, LostConnectionRepeatsNoExclusiveCall) {
  std::vector<quarantine::Action> published;
  const auto fingerprint = quarantine::FingerprintOf(request_);
  context_.suspects.OnLeafCrash({{fingerprint, false}}, published);
  Start(/*proven=*/false);
  ASSERT_EQ(sent_.size(), 1U);
  std::vector<Action> out;
  runner_->OnPeerDisconnected(sent_[0].to, out);
  EXPECT_TRUE(out.empty());
}

// Guards against calls that continue, and a reply that is sent, after the
// caller has disconnected.
TEST_F(QueryRunnerTest, CancelledRequestCancelsItsCallsAndGetsNoReply) {
  Start();
  std::vector<Action> out;
  runner_->Cancel(out);
  EXPECT_EQ(out.size(), 3U);
  EXPECT_TRUE(runner_->finished());
  Answer(0);
  EXPECT_TRUE(replies_.empty());
}

// Guards against a lookup that is sent to several shards, and against lookups
// that are all sent to the same shard.
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

// Guards against a query that is replanned, and so loses its results, although
// another replica still holds the version.
TEST_F(ReplanTest, GoneVersionIsRetriedOnAReplicaFirst) {
  Start();
  Answer(0, LeafOutcome::kVersionGone);
  EXPECT_EQ(sent_.at(3).call.version, 7U);
  EXPECT_EQ(sent_.at(3).call.shard, 0U);
}

// Guards against an answer that mixes two snapshots, because it keeps a result
// of the first version.
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

// Guards against a query that is refused although only one shard no longer has
// the version.
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
