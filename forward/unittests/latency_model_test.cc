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

/// A host that calls three leaves of a service, one call after another.
class LeafChoiceTest : public testing::Test {
 protected:
  LeafChoiceTest() {
    clock_.Advance(std::chrono::hours(1));
    for (const char* id : {"0", "1", "2"})
      directory_.Put({.id = id,
                      .service = "s",
                      .address = "9:9",
                      .zone = "z",
                      .slots = 2});
  }

  /// Runs `count` calls of the route and returns how many went to leaf 0. Other
  /// leaves answer after `latency`, leaf 0 after `factor` times that.
  int CallsToFirst(const LatencyModel::RouteEstimate& route, int count,
                   milliseconds latency, int factor) {
    int first = 0;
    for (int i = 0; i < count; ++i) {
      const auto leaf = selector_.Choose(
          {.service = &service_, .seed = ++seed_, .route = route.get()});
      const bool is_first = leaf->entry().id == "0";
      if (is_first) ++first;
      const base::TimePoint sent = clock_.Now();
      selector_.OnSent(*leaf, sent, route);
      clock_.Advance(is_first ? latency * factor : latency);
      leaf->OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
      clock_.Advance(milliseconds(50));
    }
    return first;
  }

  base::ManualClock clock_;
  LeafDirectory directory_{
      clock_, {.zone = "z", .region = "r", .region_of_zone = {{"z", "r"}}}};
  ColdCallLimit cold_{clock_, {}};
  ServiceShares shares_{clock_};
  LeafRateLimit rate_{shares_};
  LeafSelector selector_{clock_, directory_, cold_, rate_, shares_};
  Service service_{.name = "s", .max_connections = 25};
  std::uint64_t seed_ = 0;
  LatencyModel::RouteEstimate cheap_ = selector_.latencies().Of("cheap", "s");
  LatencyModel::RouteEstimate costly_ = selector_.latencies().Of("costly", "s");
};

// Guards against a leaf that is avoided for long after it has recovered, since
// each of the few calls that it gets lowers its estimate only a little.
TEST_F(LeafChoiceTest, LeafThatWasSlowGetsItsShareAgainWithinSeconds) {
  CallsToFirst(cheap_, 100, milliseconds(20), 1);
  EXPECT_LT(CallsToFirst(cheap_, 150, milliseconds(20), 8), 20);
  CallsToFirst(cheap_, 100, milliseconds(20), 1);  // 7 s
  EXPECT_GT(CallsToFirst(cheap_, 100, milliseconds(20), 1), 20);
}

// Guards against a leaf that is avoided by cheap calls because it has run the
// costly ones.
TEST_F(LeafChoiceTest, LeafThatRanCostlyCallsStillGetsCheapOnes) {
  CallsToFirst(cheap_, 60, milliseconds(10), 1);
  CallsToFirst(costly_, 60, milliseconds(150), 1);
  const auto first = directory_.Find("0");
  for (int i = 0; i < 10; ++i) {
    const base::TimePoint sent = clock_.Now();
    first->OnCallSent(sent, costly_);
    clock_.Advance(milliseconds(150));
    first->OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
  }
  EXPECT_GT(CallsToFirst(cheap_, 60, milliseconds(10), 1), 10);
}

// Guards against calls to a leaf that already runs one, while equal leaves are
// free: other hosts may be calling it too.
TEST_F(LeafChoiceTest, LeafWithARunningCallIsUsedAfterFreeLeaves) {
  CallsToFirst(cheap_, 100, milliseconds(20), 1);
  const auto busy = directory_.Find("0");
  const auto slower = directory_.Find("1");
  directory_.Remove("2");
  for (int i = 0; i < 30; ++i) {
    const base::TimePoint sent = clock_.Now();
    slower->OnCallSent(sent, cheap_);
    busy->OnCallSent(sent, cheap_);
    clock_.Advance(milliseconds(20));
    busy->OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
    clock_.Advance(milliseconds(6));
    slower->OnCallEnded(sent, clock_.Now(), CallOutcome::kAnswered);
  }
  busy->OnCallSent(clock_.Now(), cheap_);
  EXPECT_EQ(
      selector_
          .Choose({.service = &service_, .seed = 1, .route = cheap_.get()})
          ->entry()
          .id,
      "1");
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
