// Tests the estimates of latency by route and leaf.
#include "berylreach/forward/latency_model.h"

#include <gtest/gtest.h>

#include "berylreach/forward/leaf_record.h"
#include "run_fixture.h"

namespace berylreach::forward {
namespace {

class LatencyModelTest : public testing::Test {
 protected:
  LatencyModelTest() { clock_.Advance(std::chrono::hours(1)); }

  LeafRecord MakeLeaf(Distance distance = Distance::kSameZone) const {
    return {
        {.id = "l", .service = "s", .slots = 2}, distance, "r", clock_.Now()};
  }

  /// Runs `count` calls of the route at the leaf.
  void Run(LeafRecord& leaf, const LatencyModel::RouteEstimate& route,
           milliseconds latency, int count = 20) {
    for (int i = 0; i < count; ++i) {
      const base::TimePoint sent = clock_.Now();
      leaf.OnCallSent(sent, route);
      clock_.Advance(latency);
      leaf.OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
    }
  }

  base::ManualClock clock_;
  LatencyModel model_;
  LatencyModel::RouteEstimate cheap_ = model_.Of("cheap", "s");
  LatencyModel::RouteEstimate costly_ = model_.Of("costly", "s");
};

// Guards against a hedge of each costly call to a leaf that has not been called
// yet, after which both calls run to the end.
TEST_F(LatencyModelTest, LeafWithoutSamplesIsHedgedByTheCallsOfTheRoute) {
  LeafRecord other = MakeLeaf();
  Run(other, costly_, milliseconds(160));
  const LeafRecord leaf = MakeLeaf();
  EXPECT_GT(leaf.HedgeDelay(clock_.Now(), costly_.get()), milliseconds(160));
  EXPECT_LT(leaf.HedgeDelay(clock_.Now(), costly_.get()), milliseconds(250));
  EXPECT_EQ(leaf.HedgeDelay(clock_.Now(), cheap_.get()), milliseconds(20));
}

// Guards against a leaf that counts as stuck while it runs a costly call.
TEST_F(LatencyModelTest, CostlyCallIsNotOverdue) {
  LeafRecord leaf = MakeLeaf();
  LeafRecord other = MakeLeaf();
  Run(other, costly_, milliseconds(160));
  Run(leaf, cheap_, milliseconds(8));
  leaf.OnCallSent(clock_.Now(), costly_);
  clock_.Advance(milliseconds(150));
  EXPECT_FALSE(leaf.HasOverdueCall(clock_.Now()));
  clock_.Advance(milliseconds(150));
  EXPECT_TRUE(leaf.HasOverdueCall(clock_.Now()));
}

// Guards against hedges of cheap calls that come late because the leaf has also
// answered costly ones.
TEST_F(LatencyModelTest, CheapCallIsHedgedSoonAtALeafThatAlsoRunsCostlyOnes) {
  LeafRecord leaf = MakeLeaf();
  for (int i = 0; i < 20; ++i) {
    Run(leaf, cheap_, milliseconds(8), 1);
    Run(leaf, costly_, milliseconds(160), 1);
  }
  EXPECT_LT(leaf.HedgeDelay(clock_.Now(), cheap_.get()), milliseconds(40));
  EXPECT_GT(leaf.HedgeDelay(clock_.Now(), costly_.get()), milliseconds(160));
}

// Guards against a costly request or a long way being taken for a slow leaf,
// and against a slow leaf that is not known as one.
TEST_F(LatencyModelTest, FactorTellsASlowLeafFromCostAndDistance) {
  LeafRecord leaf = MakeLeaf();
  LeafRecord distant = MakeLeaf(Distance::kOtherRegion);
  LeafRecord slow = MakeLeaf();
  for (int i = 0; i < 30; ++i) {
    Run(leaf, cheap_, milliseconds(10), 3);
    Run(leaf, costly_, milliseconds(100), 3);
    Run(distant, cheap_, milliseconds(50), 1);
    Run(slow, cheap_, milliseconds(40), 1);
  }
  EXPECT_NEAR(leaf.LatencyFactor(clock_.Now()), 1, 0.5);
  EXPECT_NEAR(distant.LatencyFactor(clock_.Now()), 1, 0.5);
  EXPECT_GT(slow.LatencyFactor(clock_.Now()), 1.8);
  clock_.Advance(std::chrono::seconds(6));
  EXPECT_EQ(slow.LatencyFactor(clock_.Now()), 1);
}

// Guards against a change of hedges where a service has one route, for which
// the leaf's own latency is the better estimate.
TEST_F(LatencyModelTest, LeafOfOneRouteIsHedgedByItsOwnLatency) {
  LeafRecord fast = MakeLeaf();
  LeafRecord slow = MakeLeaf();
  Run(fast, cheap_, milliseconds(8));
  Run(slow, cheap_, milliseconds(60));
  EXPECT_EQ(slow.HedgeDelay(clock_.Now(), cheap_.get()),
            slow.HedgeDelay(clock_.Now()));
}

TEST_F(LatencyModelTest, EstimatesBelongToRouteAndService) {
  EXPECT_EQ(model_.Of("cheap", "s"), cheap_);
  EXPECT_NE(model_.Of("cheap", "t"), cheap_);
  EXPECT_NE(cheap_, costly_);
}

class CostlyRouteTest : public RunFixture {
 protected:
  /// Runs a request whose calls take `latency`, and returns the number of calls
  /// started.
  std::size_t CallsOfRequest(milliseconds latency) {
    started_.clear();
    reply_.reset();
    StartRun(route_);
    const base::TimePoint end = clock_.Now() + latency;
    while (clock_.Now() < end) {
      clock_.Advance(milliseconds(5));
      run_->Tick(actions_);
      CollectActions();
    }
    const std::vector<StartLeafCall> calls = started_;
    for (const StartLeafCall& call : calls) {
      call.leaf->OnCallEnded(call.sent, clock_.Now(), CallOutcome::kAnswered);
    }
    return calls.size();
  }
};

// Guards against two calls for each shard of a costly request at leaves that
// this host has not called yet.
TEST_F(CostlyRouteTest, NewLeavesOfACostlyRouteAreNotHedgedAtOnce) {
  route_.objective = milliseconds(1500);
  EXPECT_EQ(CallsOfRequest(milliseconds(160)), 8U) << "nothing is known";
  for (std::size_t i = 0; i < route_.shards.size(); ++i) {
    const std::string shard = "s" + std::to_string(i);
    directory_.Remove(shard + "-a");
    directory_.Remove(shard + "-b");
    PutLeaf(shard + "-c", shard, "a");
    PutLeaf(shard + "-d", shard, "a");
  }
  EXPECT_EQ(CallsOfRequest(milliseconds(160)), 4U);
}

}  // namespace
}  // namespace berylreach::forward
