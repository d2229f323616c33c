// Tests of one host's part in a shift: permits, classes of answers, reports,
// and the selection of leaves.
#include "berylreach/forward/version_shifts.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/leaf_selector.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class VersionShiftsTest : public testing::Test {
 protected:
  VersionShiftsTest()
      : directory_(clock_, {.zone = "a",
                            .region = "r",
                            .region_of_zone = {{"a", "r"}, {"b", "r"}}}),
        cold_(clock_, {.overage = 1.5, .slack = 5}),
        shares_(clock_),
        rate_(shares_),
        selector_(clock_, directory_, cold_, rate_, shares_),
        shifts_(clock_, "h", 1) {
    clock_.Advance(std::chrono::hours(1));
    cold_.SetHosts("h", {"h"});
    shifts_.SetHosts({"h"});
    Put("old", "v1");
    Put("new", "v2");
    selector_.SetVersionShifts(&shifts_);
  }

  void Put(const std::string& id, const std::string& version) {
    directory_.Put({.id = id,
                    .service = "s",
                    .address = "127.0.0.1:1",
                    .zone = "a",
                    .version = version,
                    .slots = 2});
  }
  void Order(const std::string& target = "v2",
             RecordSource source = RecordSource::kChange) {
    shifts_.ApplyOrder("s", VersionShiftOrder{"s", target, seconds(30)},
                       source);
  }
  static VersionShiftStatus Status(ShiftState state, std::uint64_t step = 1,
                                   ShiftStage stage = ShiftStage::kObserve) {
    return {.service = "s",
            .state = state,
            .stage = stage,
            .target_version = "v2",
            .order = {1, 7},
            .step = step,
            .duration = seconds(30)};
  }
  /// Id of the leaf for the next call, or "" if there is none.
  std::string Choose(bool first = true) {
    const auto leaf =
        selector_.Choose({.service = &service_, .may_be_trial = first});
    return leaf == nullptr ? "" : leaf->entry().id;
  }
  /// Sends a call and ends it.
  AnswerClass Call(const std::string& id, EndedCall call) {
    const auto leaf = directory_.Find(id);
    selector_.OnSent(*leaf, clock_.Now());
    const base::TimePoint sent = clock_.Now();
    clock_.Advance(call.latency);
    leaf->OnCallEnded(sent, clock_.Now(), call.outcome);
    return shifts_.OnEnded(*leaf, call);
  }
  void CallOld(int count) {
    for (int i = 0; i < count; ++i)
      Call("old", {.route = "r", .latency = milliseconds(20)});
  }
  std::vector<VersionShiftReport> Reports() {
    clock_.Advance(milliseconds(500));
    return shifts_.DueReports();
  }

  base::ManualClock clock_;
  LeafDirectory directory_;
  ColdCallLimit cold_;
  ServiceShares shares_;
  LeafRateLimit rate_;
  LeafSelector selector_;
  VersionShifts shifts_;
  Service service_{.name = "s", .max_connections = 25};
};

// Fails if services without a shift are restricted.
TEST_F(VersionShiftsTest, NoOrderDoesNotRestrict) {
  EXPECT_FALSE(shifts_.Permit("s", true));
  shifts_.ApplyOrder("s", std::nullopt, RecordSource::kListing);
  shifts_.ApplyStatus("s", std::nullopt);
  EXPECT_FALSE(shifts_.Permit("s", true));
  EXPECT_TRUE(shifts_.Gauges().empty());
}

// Fails if a row of the table of permitted versions is not kept.
TEST_F(VersionShiftsTest, EachStatusPermitsItsVersions) {
  Order();
  EXPECT_EQ(Choose(), "old");
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning));
  EXPECT_EQ(Choose(), "new");
  EXPECT_EQ(Choose(false), "old");
  directory_.Remove("old");
  EXPECT_EQ(Choose(false), "new");
  Put("old", "v1");
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 2, ShiftStage::kFull));
  EXPECT_EQ(Choose(false), "new");
  directory_.Remove("new");
  EXPECT_EQ(Choose(), "old");
  Put("new", "v2");
  shifts_.ApplyStatus("s", Status(ShiftState::kRolledBack, 3));
  EXPECT_EQ(Choose(), "old");
  directory_.Remove("old");
  EXPECT_EQ(Choose(), "");
  EXPECT_FALSE(selector_.HasUnpausedLeaf({.service = &service_}));
  shifts_.ApplyOrder("s", std::nullopt, RecordSource::kChange);
  EXPECT_EQ(Choose(), "new");
}

// Fails if a paused target leaf is waited for in kFull although it is listed,
// or if a call goes to an old leaf that `complete` may stop.
TEST_F(VersionShiftsTest, FullDoesNotUseOldLeavesWhileTheTargetIsListed) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 2, ShiftStage::kFull));
  directory_.Pause(*directory_.Find("new"), clock_.Now() + seconds(1));
  EXPECT_EQ(Choose(), "");
}

// Fails if an older status reverses a newer one, or a verdict.
TEST_F(VersionShiftsTest, OlderStatusIsIgnored) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRolledBack, 3));
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 2));
  EXPECT_EQ(Choose(), "old");
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 9));
  EXPECT_EQ(Choose(), "old");
  shifts_.ApplyStatus("s", std::nullopt);
  EXPECT_EQ(shifts_.Status("s")->state, ShiftState::kRolledBack);
  // The order is repeated.
  VersionShiftStatus next = Status(ShiftState::kRunning);
  next.order.revision = 8;
  shifts_.ApplyStatus("s", next);
  EXPECT_EQ(Choose(), "new");
}

// Fails if the content of a restored store is applied at once, or never.
TEST_F(VersionShiftsTest, RestoredStoreIsAuthoritativeAfterTheGracePeriod) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 3, ShiftStage::kFull));
  shifts_.OnStoreRestored();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 1));
  EXPECT_EQ(shifts_.Status("s")->step, 3);
  clock_.Advance(LeafDirectory::kStoreRestoreGrace);
  shifts_.DueReports();
  EXPECT_EQ(shifts_.Status("s")->step, 1);
}

// Fails if a host that restarts gets its part of the slack again, or if a share
// of answered calls is not permitted.
TEST_F(VersionShiftsTest, ListedOrderHasNoSlack) {
  Order("v2", RecordSource::kListing);
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning));
  EXPECT_EQ(Choose(), "old");
  CallOld(11);
  EXPECT_EQ(Choose(), "new");
  Call("new", {.route = "r", .latency = milliseconds(20)});
  EXPECT_EQ(Choose(), "old");
}

// Fails if links, load or the caller count as faults of a version.
TEST_F(VersionShiftsTest, ClassesOfAnswers) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning));
  CallOld(20);
  const auto slow = milliseconds(90);
  const auto call = [this](EndedCall end) { return Call("new", end); };
  EXPECT_EQ(call({.route = "r", .latency = milliseconds(30)}),
            AnswerClass::kGood);
  EXPECT_EQ(call({.route = "r", .latency = slow}), AnswerClass::kSlow);
  EXPECT_EQ(call({.route = "r", .latency = slow, .was_cold = true}),
            AnswerClass::kGood);
  EXPECT_EQ(call({.route = "other", .latency = slow}), AnswerClass::kGood);
  EXPECT_EQ(call({.route = "r", .outcome = CallOutcome::kFailed}),
            AnswerClass::kFailed);
  EXPECT_EQ(
      call(
          {.route = "r", .outcome = CallOutcome::kLost, .broken_answer = true}),
      AnswerClass::kFailed);
  EXPECT_EQ(
      call({.route = "r", .outcome = CallOutcome::kFailed, .suspect = true}),
      AnswerClass::kNotCounted);
  for (const CallOutcome outcome :
       {CallOutcome::kShed, CallOutcome::kLost, CallOutcome::kUnreachable,
        CallOutcome::kReplaced, CallOutcome::kCancelled})
    EXPECT_EQ(call({.route = "r", .outcome = outcome}),
              AnswerClass::kNotCounted);
}

// Fails if a call that a lost link left unanswered counts as slow, or one that
// was cancelled while other leaves of the zone answered does not.
TEST_F(VersionShiftsTest, CancelledCallIsSlowIfTheZoneAnswers) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning));
  CallOld(20);
  const EndedCall cancelled{.route = "r",
                            .outcome = CallOutcome::kCancelled,
                            .latency = milliseconds(200)};
  EXPECT_EQ(Call("new", cancelled), AnswerClass::kNotCounted);
  const auto leaf = directory_.Find("new");
  shifts_.OnSent(*leaf);
  CallOld(10);
  EXPECT_EQ(shifts_.OnEnded(*leaf, cancelled), AnswerClass::kSlow);
}

// Fails if counts are not reported at the stated intervals, or if a report that
// was lost is not repeated.
TEST_F(VersionShiftsTest, ReportsAreSentWhileCountsChangeAndUntilAccepted) {
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning));
  EXPECT_TRUE(Reports().empty());
  CallOld(3);
  ASSERT_EQ(Reports().size(), 1);
  const auto repeated = Reports();
  ASSERT_EQ(repeated.size(), 1);
  EXPECT_EQ(repeated[0].rows,
            (std::vector<VersionCountsRow>{{"r", "a", "", {.calls = 3}}}));
  shifts_.OnReportAnswer(
      {.service = "s", .accepted = true, .order = {1, 7}, .step = 1});
  EXPECT_TRUE(Reports().empty());
  Call("new", {.route = "r",
               .outcome = CallOutcome::kFailed,
               .latency = milliseconds(20)});
  clock_.Advance(milliseconds(100));
  ASSERT_EQ(shifts_.DueReports().size(), 1);
}

// Fails if a host without calls does not confirm kFull, or does so while a call
// to an old leaf is running that was sent before the order.
TEST_F(VersionShiftsTest, FullIsReportedOnceWithRunningOldCalls) {
  const auto old = directory_.Find("old");
  shifts_.OnSent(*old);
  Order();
  shifts_.ApplyStatus("s", Status(ShiftState::kRunning, 2, ShiftStage::kFull));
  auto reports = Reports();
  ASSERT_EQ(reports.size(), 1);
  EXPECT_TRUE(reports[0].old_calls_running);
  shifts_.OnReportAnswer(
      {.service = "s", .accepted = true, .order = {1, 7}, .step = 2});
  shifts_.OnEnded(*old, {.route = "r", .latency = seconds(1)});
  reports = Reports();
  ASSERT_EQ(reports.size(), 1);
  EXPECT_FALSE(reports[0].old_calls_running);
  EXPECT_EQ(reports[0].stage, ShiftStage::kFull);
}

}  // namespace
}  // namespace berylreach::forward
