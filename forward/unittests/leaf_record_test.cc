// Tests the estimates of the latency and health of one leaf.
#include "berylreach/forward/leaf_record.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

class LeafRecordTest : public testing::Test {
 protected:
  LeafRecordTest()
      : leaf_({.id = "l", .service = "s", .slots = 2}, Distance::kSameZone, "r",
              clock_.Now()) {
    clock_.Advance(std::chrono::hours(1));
  }

  void RunCall(milliseconds latency,
               CallOutcome outcome = CallOutcome::kAnswered) {
    const base::TimePoint sent = clock_.Now();
    leaf_.OnCallSent(sent);
    clock_.Advance(latency);
    leaf_.OnCallEnded(sent, clock_.Now(), outcome);
  }

  base::ManualClock clock_;
  LeafRecord leaf_;
};

// Guards against calls that count as running for ever, because the send time
// passed at their end differs from that at their start.
TEST_F(LeafRecordTest, EndedCallsDoNotCountAsRunning) {
  RunCall(milliseconds(5));
  EXPECT_EQ(leaf_.running(), 0U);
  leaf_.OnCallSent(clock_.Now());
  EXPECT_EQ(leaf_.running(), 1U);
}

// Guards against avoiding a fast leaf after a single long pause.
TEST_F(LeafRecordTest, OnePauseChangesTheEstimateLittle) {
  for (int i = 0; i < 50; ++i) RunCall(milliseconds(8));
  RunCall(milliseconds(200));
  EXPECT_LT(leaf_.Cost(clock_.Now()), milliseconds(14));
}

// Guards against an estimate that stays low although the leaf has become slow.
TEST_F(LeafRecordTest, EstimateFollowsLastingSlowness) {
  for (int i = 0; i < 20; ++i) RunCall(milliseconds(8));
  for (int i = 0; i < 40; ++i) RunCall(milliseconds(70));
  EXPECT_GT(leaf_.Cost(clock_.Now()), milliseconds(50));
}

// Guards against a leaf that is never called again after it was slow.
TEST_F(LeafRecordTest, EstimateDecaysWithoutCalls) {
  for (int i = 0; i < 40; ++i) RunCall(milliseconds(300));
  clock_.Advance(std::chrono::seconds(10));
  EXPECT_LT(leaf_.Cost(clock_.Now()), milliseconds(15));
}

// Guards against further calls to a hung leaf while an earlier call is overdue.
TEST_F(LeafRecordTest, HasOverdueCallAfterHedgeDelay) {
  for (int i = 0; i < 20; ++i) RunCall(milliseconds(8));
  leaf_.OnCallSent(clock_.Now());
  EXPECT_FALSE(leaf_.HasOverdueCall(clock_.Now()));
  clock_.Advance(milliseconds(60));
  EXPECT_TRUE(leaf_.HasOverdueCall(clock_.Now()));
}

// Guards against a healthy leaf that is avoided because of one call that it
// never answers.
TEST_F(LeafRecordTest, HasNoOverdueCallIfALaterCallWasAnswered) {
  for (int i = 0; i < 20; ++i) RunCall(milliseconds(8));
  leaf_.OnCallSent(clock_.Now());
  clock_.Advance(milliseconds(5));
  RunCall(milliseconds(60));
  EXPECT_FALSE(leaf_.HasOverdueCall(clock_.Now()));
}

// Guards against an unreachable leaf that is tried again too often.
TEST_F(LeafRecordTest, UnreachableLeafIsBackedOffForLongerEachTime) {
  RunCall(milliseconds(1), CallOutcome::kUnreachable);
  EXPECT_TRUE(leaf_.IsBackedOff(clock_.Now()));
  clock_.Advance(milliseconds(150));
  EXPECT_FALSE(leaf_.IsBackedOff(clock_.Now()));
  RunCall(milliseconds(1), CallOutcome::kUnreachable);
  clock_.Advance(milliseconds(150));
  EXPECT_TRUE(leaf_.IsBackedOff(clock_.Now()));
  RunCall(milliseconds(8));
  EXPECT_FALSE(leaf_.IsBackedOff(clock_.Now()));
}

// Guards against a leaf that counts as failing because the host cancels calls.
TEST_F(LeafRecordTest, CancelledCallsChangeNoEstimate) {
  RunCall(milliseconds(500), CallOutcome::kCancelled);
  EXPECT_EQ(leaf_.failure_rate(), 0);
  EXPECT_EQ(leaf_.running(), 0U);
}

// Guards against a call that must not be lost on a leaf that is just being
// restarted.
TEST_F(LeafRecordTest, ResetMakesALeafDoubtfulUntilItAnswersALaterCall) {
  EXPECT_FALSE(leaf_.IsDoubtful(clock_.Now()));
  const base::TimePoint before = clock_.Now();
  RunCall(milliseconds(10), CallOutcome::kLost);
  EXPECT_TRUE(leaf_.IsDoubtful(clock_.Now()));
  leaf_.OnAnswerTo(before);
  EXPECT_TRUE(leaf_.IsDoubtful(clock_.Now()))
      << "the former process may have answered an earlier call";
  RunCall(milliseconds(10));
  EXPECT_FALSE(leaf_.IsDoubtful(clock_.Now()));
}

// Guards against a leaf that is avoided although no call shows that it is down.
TEST_F(LeafRecordTest, DoubtEnds) {
  leaf_.MarkDoubtful(clock_.Now());
  EXPECT_TRUE(leaf_.IsDoubtful(clock_.Now() + milliseconds(1999)));
  EXPECT_FALSE(leaf_.IsDoubtful(clock_.Now() + milliseconds(2000)));
}

TEST_F(LeafRecordTest, ColdForTheTimeInTheEntry) {
  leaf_.Update({.id = "l", .service = "s", .cold_left = milliseconds(3000)},
               clock_.Now());
  EXPECT_TRUE(leaf_.IsCold(clock_.Now()));
  clock_.Advance(milliseconds(3000));
  EXPECT_FALSE(leaf_.IsCold(clock_.Now()));
}

}  // namespace
}  // namespace berylreach::forward
