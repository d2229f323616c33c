// Guards against orders that run twice and against wrong `not_run` replies,
// under lost and late store answers, stale reads, outages, crashed and frozen
// hosts, and repeats at other hosts.
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
  OrderSimulation world(GetParam().seed, kOrders, GetParam().exclusive);
  world.Run();
  EXPECT_EQ(world.run_twice, 0);
  EXPECT_EQ(world.false_not_run, 0);
  EXPECT_EQ(world.unclaimed_sends, 0);
  EXPECT_EQ(world.wrong_results, 0);
  EXPECT_EQ(world.duplicate_replies, 0);
  // Without enough completed orders and faults, the counts above prove nothing.
  EXPECT_GT(world.done(), kOrders / 2);
  EXPECT_GT(world.not_run_replies, 0);
  EXPECT_GT(world.crashes, 0);
  EXPECT_GT(world.freezes, 0);
  RecordProperty("done", world.done());
  RecordProperty("not_run", world.not_run_replies);
  RecordProperty("may_have_run", world.may_have_run_replies);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderFaultsTest,
                         testing::Values(Case{1, false}, Case{2, false},
                                         Case{3, false}, Case{4, false},
                                         Case{5, true}, Case{6, true},
                                         Case{7, true}, Case{8, true}));

}  // namespace
}  // namespace berylreach::orders
