// Guards against silence thresholds that do not follow the latencies of owned
// leaves. The upstream client would then close the connections of slow
// services.
#include "berylreach/core/silence_thresholds.h"

#include <gtest/gtest.h>

#include <chrono>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/core/leaf_owner.h"
#include "one_leaf.h"

namespace berylreach::core {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

class SilenceThresholdsTest : public testing::Test {
 protected:
  SilenceThresholdsTest() {
    Adopt();
    owner_.SetLeaseExpiry(clock_.Now() + std::chrono::hours(1));
    owner_.SetOpen({"leaf"}, true);
    outbox_.Take();
  }

  void Adopt() {
    const std::vector<model::Member> members{{{"host"}, 1, {"zone"}, "", ""}};
    owner_.Adopt(routing::OwnershipTable(1, 1, environment_, members),
                 environment_, members);
  }

  model::CallId Start() {
    model::LeafCall call;
    call.id = {1, ++next_};
    call.leaf = {"leaf"};
    call.service = {"desk"};
    call.budget = std::chrono::seconds(10);
    call.fingerprint = 1;
    owner_.OnCall({"host"}, call);
    return call.id;
  }

  void End(const model::CallId& id, LeafOutcome outcome,
           bool call_ended = false) {
    model::UpstreamResult result;
    result.id = id;
    result.leaf = {"leaf"};
    result.outcome = outcome;
    result.call_ended = call_ended;
    owner_.OnUpstreamResult(result);
  }

  /// Runs `count` calls one after the other, each of which ends with `outcome`
  /// after `time`.
  void Run(int count, milliseconds time, LeafOutcome outcome = LeafOutcome::kOk,
           bool call_ended = false) {
    for (int i = 0; i < count; ++i) {
      const auto id = Start();
      clock_.Advance(time);
      End(id, outcome, call_ended);
    }
  }

  /// The thresholds of "desk" that the next Tick reports.
  std::vector<milliseconds> Reported() {
    clock_.Advance(std::chrono::seconds(1));
    outbox_.Take();
    owner_.Tick();
    return TakeReported();
  }

  /// The thresholds of "desk" that were reported since the last call.
  std::vector<milliseconds> TakeReported() {
    std::vector<milliseconds> times;
    for (const Action& action : outbox_.Take()) {
      const auto* set = std::get_if<SetSilenceThreshold>(&action);
      if (set == nullptr) continue;
      EXPECT_EQ(set->service, model::ServiceName{"desk"});
      times.push_back(set->threshold);
    }
    return times;
  }

  using Times = std::vector<milliseconds>;

  base::ManualClock clock_;
  quarantine::Quarantine quarantine_{clock_};
  Outbox outbox_{{"host"}};
  LeafOwner owner_{clock_, quarantine_, outbox_};
  model::Environment environment_ = OneLeaf();
  std::uint64_t next_ = 0;
};

TEST_F(SilenceThresholdsTest, FastServiceKeepsTheMinimumThreshold) {
  Run(100, milliseconds(6));
  EXPECT_EQ(Reported(), Times{});
}

TEST_F(SilenceThresholdsTest, SlowServiceIsReportedOnceForEachChange) {
  Run(100, milliseconds(200));
  EXPECT_EQ(Reported(), Times{milliseconds(600)});
  EXPECT_EQ(Reported(), Times{});
  Run(512, milliseconds(6));
  EXPECT_EQ(Reported(), Times{milliseconds(500)});
}

// The time that a call waits in the queue of the owner is not part of the
// latency of the leaf.
TEST_F(SilenceThresholdsTest, TimeInTheOwnersQueueDoesNotCount) {
  for (int i = 0; i < 20; ++i) {
    std::vector<model::CallId> ids;
    for (int call = 0; call < 4; ++call) ids.push_back(Start());
    for (const model::CallId& id : ids) {
      clock_.Advance(milliseconds(150));
      End(id, LeafOutcome::kOk);
    }
  }
  // Two calls run at a time after the first completions and end 150 ms apart,
  // so that each takes 300 ms.
  EXPECT_EQ(Reported(), Times{milliseconds(900)});
}

TEST_F(SilenceThresholdsTest, CancelledCallsCountWithTheirElapsedTime) {
  Run(100, milliseconds(200), LeafOutcome::kLost, /*call_ended=*/true);
  EXPECT_EQ(Reported(), Times{milliseconds(600)});
}

TEST_F(SilenceThresholdsTest, ResetConnectionsDoNotCount) {
  Run(100, milliseconds(200), LeafOutcome::kLost);
  EXPECT_EQ(Reported(), Times{});
}

TEST_F(SilenceThresholdsTest, ServiceThatNeverAnswersInTimeIsReported) {
  for (int i = 0; i < 6; ++i) {
    Run(1, milliseconds(500), LeafOutcome::kLost);
    // The slot of the call is free again after its deadline.
    clock_.Advance(std::chrono::seconds(11));
    EXPECT_EQ(Reported(), Times{});
  }
  Run(1, milliseconds(500), LeafOutcome::kLost);
  EXPECT_EQ(Reported(), Times{milliseconds(1500)});
}

TEST_F(SilenceThresholdsTest, RemovedServiceIsResetToTheMinimumThreshold) {
  Run(100, milliseconds(200));
  EXPECT_EQ(Reported(), Times{milliseconds(600)});
  environment_.services.clear();
  Adopt();
  EXPECT_EQ(TakeReported(), Times{milliseconds(500)});
}

}  // namespace
}  // namespace berylreach::core
