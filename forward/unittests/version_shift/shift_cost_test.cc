// Tests of what shifts cost, and of several at once.
#include <gtest/gtest.h>

#include <iostream>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/shift_controller.h"
#include "shift_simulation.h"

namespace berylreach::forward {
namespace {

// Fails if a shift costs more messages or calls of the store than the design
// note states.
TEST(ShiftCostTest, MessagesAndStoreCalls) {
  for (const std::size_t hosts : {6U, 70U, 195U}) {
    ShiftSimulation simulation(
        {.hosts = hosts, .rate = 60, .duration = seconds(45)}, 1);
    simulation.RunFor(seconds(2));
    simulation.Order();
    simulation.RunFor(seconds(46));
    std::cout << "cost hosts=" << hosts << " reports " << simulation.reports
              << " rows " << simulation.report_rows << " reads "
              << simulation.reads << " writes " << simulation.writes_sent
              << "\n";
    ASSERT_TRUE(simulation.status);
    EXPECT_EQ(simulation.status->state, ShiftState::kComplete);
    EXPECT_LE(simulation.reads, 16);
    EXPECT_EQ(simulation.writes_sent, 4);
    EXPECT_LE(simulation.reports, 200 * hosts);
  }
}

/// Orders for two services that go different ways.
TEST(ShiftControllerServicesTest, TwoServicesAtOnce) {
  base::ManualClock clock;
  ShiftController controller(clock, "h");
  controller.SetHosts({"h"});
  ShiftController::Actions actions;
  for (const std::string service : {"a", "b"}) {
    controller.OnOrder(service, VersionShiftOrder{service, "v2", seconds(20)},
                       false, RecordSource::kChange, actions);
    controller.SetService(service,
                          {.leaves = {{"v1", {1, 1}}, {"v2", {1, 1}}}});
  }
  controller.OnOrder("b", std::nullopt, false, RecordSource::kChange, actions);
  controller.Tick(actions);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(actions[0], ShiftAction(ReadShiftRecords{"a"}));
  EXPECT_EQ(controller.Services(), std::vector<std::string>{"a"});
}

}  // namespace
}  // namespace berylreach::forward
