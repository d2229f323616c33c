// Tests of the steps of a shift: orders that change, leaves that go, and
// disturbances of the store and of the writers.
#include "berylreach/forward/shift_controller.h"

#include <gtest/gtest.h>

#include "shift_simulation.h"

namespace berylreach::forward {
namespace {

class ShiftControllerTest : public testing::Test {
 protected:
  void Begin(ShiftConditions conditions = {}, std::uint64_t seed = 1) {
    simulation = std::make_unique<ShiftSimulation>(conditions, seed);
    simulation->RunFor(seconds(10));
  }

  ShiftState State() const {
    return simulation->status ? simulation->status->state
                              : ShiftState::kRunning;
  }
  std::string Cause() const {
    return simulation->status ? simulation->status->cause : "";
  }
  /// Runs until a second after the deadline of an order that was just written.
  void RunToDeadline() { simulation->RunFor(seconds(31)); }

  void TearDown() override {
    EXPECT_EQ(simulation->violations, std::vector<std::string>());
    EXPECT_EQ(simulation->calls_after_rollback, 0);
  }

  std::unique_ptr<ShiftSimulation> simulation;
};

// Fails if a good version is not complete in time, or skips a stage.
TEST_F(ShiftControllerTest, GoodVersionTakesEachStepOnce) {
  Begin();
  simulation->Order();
  simulation->RunFor(seconds(30));
  ASSERT_EQ(simulation->written.size(), 4);
  EXPECT_EQ(simulation->written[0].stage, ShiftStage::kObserve);
  EXPECT_EQ(simulation->written[1].stage, ShiftStage::kLoad);
  EXPECT_EQ(simulation->written[2].stage, ShiftStage::kFull);
  EXPECT_EQ(simulation->written[3].state, ShiftState::kComplete);
  EXPECT_EQ(simulation->writes_sent, 4);
  EXPECT_EQ(simulation->refused_calls, 0);
}

// Fails if `complete` cuts long calls to old leaves, also those of hosts whose
// reports do not arrive.
TEST_F(ShiftControllerTest, LongCallsToOldLeavesAreWaitedFor) {
  for (const double lost : {0.0, 0.3}) {
    Begin({.duration = seconds(20),
           .timeout = milliseconds(8000),
           .long_calls = 0.1,
           .lost_messages = lost});
    simulation->Order();
    simulation->RunFor(seconds(14));
    EXPECT_EQ(simulation->status->stage, ShiftStage::kFull);
    simulation->RunFor(seconds(12));
    EXPECT_EQ(State(), ShiftState::kComplete);
    EXPECT_EQ(simulation->violations, std::vector<std::string>());
  }
}

// Fails if a repeated order is taken as the one that was handled already.
TEST_F(ShiftControllerTest, RepeatedOrderStartsAgain) {
  Begin();
  simulation->Order();
  simulation->RunFor(seconds(12));
  simulation->Order();
  simulation->RunFor(seconds(2));
  ASSERT_TRUE(simulation->status);
  EXPECT_EQ(simulation->status->order.revision, simulation->order_revision);
  EXPECT_EQ(simulation->status->step, 1);
  RunToDeadline();
  EXPECT_EQ(State(), ShiftState::kComplete);
}

// Fails if an order that is repeated after its completion takes the service
// away from the only version.
TEST_F(ShiftControllerTest, OrderRepeatedAfterCompletionIsCompleteAtOnce) {
  Begin();
  simulation->Order();
  RunToDeadline();
  simulation->List("v1", false);
  simulation->Order();
  simulation->RunFor(seconds(3));
  EXPECT_EQ(State(), ShiftState::kComplete);
  EXPECT_EQ(simulation->status->order.revision, simulation->order_revision);
  EXPECT_EQ(simulation->refused_calls, 0);
}

// Fails if an order for the only version of a service takes it away from its
// callers.
TEST_F(ShiftControllerTest, OrderForTheOnlyVersionIsCompleteAtOnce) {
  Begin({.starts_leaves = false});
  simulation->WriteOrder(VersionShiftOrder{"s", "v1", seconds(30)});
  simulation->RunFor(seconds(3));
  EXPECT_EQ(State(), ShiftState::kComplete);
  const std::size_t refused = simulation->refused_calls;
  simulation->RunFor(seconds(10));
  EXPECT_EQ(simulation->refused_calls, refused);
}

// Fails if a version that was rolled back gets calls because its order is
// repeated and no status answers it yet, or is complete without a new test.
TEST_F(ShiftControllerTest, OrderRepeatedAfterRollbackIsJudgedAgain) {
  Begin({.bad_rate = 0.5});
  simulation->Order();
  simulation->RunFor(seconds(20));
  ASSERT_EQ(State(), ShiftState::kRolledBack);
  simulation->conditions.bad_rate = 0;
  const std::uint64_t before = simulation->target_arrivals;
  simulation->Order();
  simulation->RunFor(milliseconds(20));
  EXPECT_EQ(simulation->target_arrivals, before);
  RunToDeadline();
  EXPECT_EQ(State(), ShiftState::kComplete);
}

// Fails if the replaced target is used like the old version.
TEST_F(ShiftControllerTest, ChangedTargetWithholdsTheFormerOne) {
  Begin();
  simulation->Order();
  simulation->RunFor(seconds(12));
  simulation->WriteOrder(VersionShiftOrder{"s", "v3", seconds(30)});
  simulation->RunFor(seconds(4));
  ASSERT_TRUE(simulation->status);
  EXPECT_EQ(simulation->status->target_version, "v3");
  EXPECT_EQ(simulation->status->withheld, std::vector<std::string>{"v2"});
  const std::uint64_t before = simulation->target_arrivals;
  simulation->RunFor(seconds(30));
  EXPECT_EQ(simulation->target_arrivals, before);
  EXPECT_EQ(State(), ShiftState::kRolledBack);
}

// Fails if an order for a service or version without leaves stays open.
TEST_F(ShiftControllerTest, LeavesThatNeverComeRollBack) {
  Begin({.starts_leaves = false});
  simulation->Order();
  simulation->RunFor(seconds(30));
  EXPECT_EQ(State(), ShiftState::kRolledBack);
  EXPECT_EQ(Cause(), "no leaf of the version was listed");
  EXPECT_EQ(simulation->refused_calls, 0);
}

// Fails if a shift proceeds without leaves to shift to, in any stage.
TEST_F(ShiftControllerTest, LeavesThatGoRollBack) {
  for (const int at : {5, 13, 22}) {
    Begin();
    simulation->Order();
    simulation->RunFor(seconds(at));
    simulation->List("v2", false);
    simulation->RunFor(seconds(8));
    EXPECT_EQ(State(), ShiftState::kRolledBack) << at;
    EXPECT_EQ(Cause(), "the leaves of the version are gone") << at;
  }
}

// Fails if leaves that crash and come back, or are evacuated for a while, end a
// shift.
TEST_F(ShiftControllerTest, LeavesThatComeBackContinue) {
  Begin();
  simulation->Order();
  simulation->RunFor(seconds(8));
  simulation->List("v2", false);
  simulation->RunFor(seconds(3));
  simulation->List("v2", true);
  simulation->RunFor(seconds(20));
  EXPECT_EQ(State(), ShiftState::kComplete);
}

// Fails if a malformed order restricts calls, gets a status, or lets a running
// shift go on.
TEST_F(ShiftControllerTest, MalformedOrder) {
  Begin();
  simulation->WriteOrder(std::nullopt, true);
  simulation->List("v2", true);
  simulation->RunFor(seconds(10));
  EXPECT_FALSE(simulation->status);
  EXPECT_GT(simulation->target_arrivals, 100);
  simulation->Order();
  simulation->RunFor(seconds(10));
  simulation->WriteOrder(std::nullopt, true);
  simulation->RunFor(seconds(3));
  EXPECT_EQ(State(), ShiftState::kRolledBack);
}

// Fails if the withdrawal of an order leaves its shift running.
TEST_F(ShiftControllerTest, WithdrawnOrderRollsBack) {
  Begin();
  simulation->Order();
  simulation->RunFor(seconds(10));
  simulation->WriteOrder(std::nullopt);
  simulation->RunFor(seconds(3));
  EXPECT_EQ(State(), ShiftState::kRolledBack);
  EXPECT_EQ(Cause(), "the order was withdrawn");
  const std::uint64_t before = simulation->target_arrivals;
  simulation->RunFor(seconds(10));
  EXPECT_EQ(simulation->target_arrivals, before);
}

// Fails if an outage of the store before, during or after the verdict reverses
// it, or lets hosts exceed their limits.
TEST_F(ShiftControllerTest, StoreAway) {
  for (const double bad_rate : {0.0, 0.5})
    for (const int from : {0, 3, 9, 18, 22, 26}) {
      Begin({.bad_rate = bad_rate}, static_cast<std::uint64_t>(from));
      simulation->Order();
      simulation->RunFor(seconds(from));
      simulation->store_down = true;
      simulation->RunFor(seconds(15));
      simulation->store_down = false;
      for (std::size_t host = 0; host < 6; ++host)
        simulation->CutStore(host, false);
      simulation->RunFor(seconds(30));
      EXPECT_EQ(State(),
                bad_rate > 0 ? ShiftState::kRolledBack : ShiftState::kComplete)
          << "store away from " << from;
      EXPECT_LE(
          bad_rate * static_cast<double>(simulation->target_arrivals),
          bad_rate * (0.1 * static_cast<double>(simulation->arrivals) + 50));
    }
}

// Fails if a host goes on using a version that its own answers condemn while
// nobody can write the verdict.
TEST_F(ShiftControllerTest, HostsStopByTheirOwnCountsWithoutStore) {
  Begin({.hosts = 2,
         .rate = 200,
         .duration = seconds(120),
         .bad_rate = 0.5,
         .bad_from = milliseconds(20000)});
  simulation->Order();
  simulation->RunFor(seconds(15));
  simulation->store_down = true;
  simulation->RunFor(seconds(20));
  const std::uint64_t before = simulation->target_arrivals;
  simulation->RunFor(seconds(20));
  EXPECT_EQ(simulation->target_arrivals, before);
  EXPECT_LE(simulation->bad_answers, 100);
}

// Fails if a step depends on the host that was to write it, whether it dies
// before or after the store has executed the write.
TEST_F(ShiftControllerTest, WriterDiesAtEachStep) {
  for (std::size_t step = 0; step < 4; ++step)
    for (const bool is_executed : {false, true}) {
      Begin({}, step);
      std::size_t seen = 0;
      simulation->on_write = [&](std::size_t host, const WriteShiftStatus&) {
        if (seen++ != step) return true;
        simulation->Kill(host);
        return is_executed;
      };
      simulation->Order();
      simulation->RunFor(seconds(30));
      EXPECT_EQ(State(), ShiftState::kComplete) << step << is_executed;
    }
}

// As above, for the verdict against a bad version.
TEST_F(ShiftControllerTest, WriterDiesAtTheVerdict) {
  Begin({.rate = 200, .bad_rate = 0.3});
  bool is_killed = false;
  simulation->on_write = [&](std::size_t host, const WriteShiftStatus& write) {
    if (is_killed || write.status.state != ShiftState::kRolledBack) return true;
    is_killed = true;
    simulation->Kill(host);
    return false;
  };
  simulation->Order();
  simulation->RunFor(seconds(30));
  EXPECT_TRUE(is_killed);
  EXPECT_EQ(State(), ShiftState::kRolledBack);
  if (simulation->bad_50th_at)
    EXPECT_LE(simulation->last_target_call - *simulation->bad_50th_at,
              ExposureLimits().rollback_time);
}

// Fails if a store that comes back from an older copy revives a version that
// was rolled back, or takes a complete shift back.
TEST_F(ShiftControllerTest, RestoredStoreGetsTheVerdictAgain) {
  for (const bool is_bad : {false, true})
    for (const int copy_at : {1, 8, 14}) {
      Begin({.bad_rate = is_bad ? 0.5 : 0, .bad_from = milliseconds(16000)},
            static_cast<std::uint64_t>(copy_at));
      simulation->Order();
      simulation->RunFor(seconds(copy_at));
      simulation->SaveCopy();
      simulation->RunFor(seconds(35));
      const ShiftState verdict = State();
      EXPECT_EQ(verdict,
                is_bad ? ShiftState::kRolledBack : ShiftState::kComplete);
      const std::uint64_t before = simulation->target_arrivals;
      if (!is_bad) simulation->List("v1", false);
      simulation->RestoreCopy();
      simulation->RunFor(seconds(5));
      EXPECT_EQ(State(), verdict) << copy_at;
      simulation->RunFor(seconds(30));
      EXPECT_EQ(State(), verdict) << copy_at;
      if (is_bad) EXPECT_EQ(simulation->target_arrivals, before);
    }
}

// Fails if the loss of the order with the store's content revives a version
// that hosts know as bad.
TEST_F(ShiftControllerTest, RestoredStoreWithoutOrder) {
  Begin({.bad_rate = 0.5});
  simulation->SaveCopy();
  simulation->Order();
  simulation->RunFor(seconds(30));
  ASSERT_EQ(State(), ShiftState::kRolledBack);
  const std::uint64_t before = simulation->target_arrivals;
  simulation->RestoreCopy(false);
  simulation->RunFor(seconds(20));
  EXPECT_EQ(simulation->target_arrivals, before);
}

// Fails if a shift does not survive the loss of all hosts' memory.
TEST_F(ShiftControllerTest, AllHostsRestart) {
  for (const int at : {2, 12, 21, 25}) {
    Begin();
    simulation->Order();
    simulation->RunFor(seconds(at));
    for (std::size_t host = 0; host < 6; ++host) simulation->Restart(host);
    simulation->RunFor(seconds(45));
    EXPECT_EQ(State(), ShiftState::kComplete) << at;
  }
}

// Fails if an arbiter that does not reach the store keeps the reports to
// itself.
TEST_F(ShiftControllerTest, ArbitersWithoutStoreAreReplaced) {
  Begin({.rate = 200, .bad_rate = 0.3, .bad_from = milliseconds(10000)});
  simulation->Order();
  simulation->RunFor(seconds(5));
  for (const std::size_t rank : {0U, 1U})
    simulation->CutStore(simulation->Arbiter(rank), true);
  simulation->RunFor(seconds(25));
  EXPECT_EQ(State(), ShiftState::kRolledBack);
  EXPECT_EQ(simulation->written.back().writer,
            simulation->hosts[simulation->Arbiter(2)]->name);
}

// Fails if hosts without reports of others let a version proceed that the
// arbiters know as bad, or if lost and repeated reports change the sums.
TEST_F(ShiftControllerTest, LostMessages) {
  for (std::uint64_t seed = 0; seed < 5; ++seed) {
    Begin({.rate = 200, .bad_rate = 0.2, .lost_messages = 0.3}, seed);
    simulation->Order();
    simulation->RunFor(seconds(30));
    EXPECT_EQ(State(), ShiftState::kRolledBack);
    Begin({.rate = 200, .lost_messages = 0.3}, seed);
    simulation->Order();
    simulation->RunFor(seconds(30));
    EXPECT_EQ(State(), ShiftState::kComplete);
  }
}

}  // namespace
}  // namespace berylreach::forward
