// Guards against orders that run twice and against wrong `not_run` replies,
// under lost and late store answers, stale reads, store outages, crashed and
// frozen hosts, and repeats at other hosts.
#include <gtest/gtest.h>

#include "order_simulation.h"

namespace berylreach::orders {
namespace {

constexpr int kOrders = 1500;

struct Case {
  std::uint64_t seed;
  bool exclusive;
};

class OrderFaultsTest : public testing::TestWithParam<Case> {};

TEST_P(OrderFaultsTest, RunsAtMostOnceWithCorrectReplies) {
  OrderSimulation simulation(GetParam().seed, kOrders, GetParam().exclusive);
  simulation.Run();
  EXPECT_EQ(simulation.run_twice, 0);
  EXPECT_EQ(simulation.false_not_run, 0);
  EXPECT_EQ(simulation.unclaimed_sends, 0);
  EXPECT_EQ(simulation.wrong_results, 0);
  EXPECT_EQ(simulation.duplicate_replies, 0);
  // The checks above prove nothing unless enough orders completed and enough
  // faults occurred.
  EXPECT_GT(simulation.done(), kOrders / 2);
  EXPECT_GT(simulation.not_run_replies, 0);
  EXPECT_GT(simulation.crashes, 0);
  EXPECT_GT(simulation.freezes, 0);
  RecordProperty("done", simulation.done());
  RecordProperty("not_run", simulation.not_run_replies);
  RecordProperty("may_have_run", simulation.may_have_run_replies);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderFaultsTest,
                         testing::Values(Case{1, false}, Case{2, false},
                                         Case{3, false}, Case{4, false},
                                         Case{5, true}, Case{6, true},
                                         Case{7, true}, Case{8, true}));

}  // namespace
}  // namespace berylreach::orders
