// Guards against a threshold so low that probes close the connections of a slow
// service, and against one so high that broken connections are detected late.
#include "berylreach/limits/silence_threshold.h"

#include <gtest/gtest.h>

#include <chrono>

namespace berylreach::limits {
namespace {

using std::chrono::milliseconds;

class SilenceThresholdTest : public testing::Test {
 protected:
  void AnsweredCalls(int count, milliseconds latency) {
    for (int i = 0; i < count; ++i) threshold_.OnAnswer(latency);
  }

  void UnansweredCalls(int count) {
    for (int i = 0; i < count; ++i)
      threshold_.OnUnansweredCall(threshold_.Value());
  }

  SilenceThreshold threshold_;
};

TEST_F(SilenceThresholdTest, UnknownServiceHasTheMinimumThreshold) {
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  AnsweredCalls(3, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

TEST_F(SilenceThresholdTest, FastServiceHasTheMinimumThreshold) {
  AnsweredCalls(500, milliseconds(6));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  AnsweredCalls(500, milliseconds(166));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

TEST_F(SilenceThresholdTest, SlowServiceHasThreeTimesItsP99) {
  AnsweredCalls(500, milliseconds(170));
  EXPECT_EQ(threshold_.Value(), milliseconds(510));
  AnsweredCalls(500, milliseconds(300));
  EXPECT_EQ(threshold_.Value(), milliseconds(900));
}

TEST_F(SilenceThresholdTest, TheSlowestPercentDoesNotCount) {
  AnsweredCalls(508, milliseconds(10));
  AnsweredCalls(4, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  AnsweredCalls(4, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(1200));
}

TEST_F(SilenceThresholdTest, FollowsAServiceThatBecomesFastAgain) {
  AnsweredCalls(512, milliseconds(300));
  AnsweredCalls(512, milliseconds(6));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

// Guards against a service that always takes longer than the threshold: all its
// calls would be abandoned and no latency would ever be recorded.
TEST_F(SilenceThresholdTest, RisesForAServiceThatNeverAnswersInTime) {
  UnansweredCalls(6);
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  UnansweredCalls(1);
  EXPECT_EQ(threshold_.Value(), milliseconds(1500));
}

TEST_F(SilenceThresholdTest, RisesForAServiceThatHasBecomeSlow) {
  AnsweredCalls(512, milliseconds(6));
  UnansweredCalls(10);
  EXPECT_EQ(threshold_.Value(), milliseconds(1500));
}

TEST_F(SilenceThresholdTest,
       BrokenConnectionsBetweenAnswersDoNotRaiseTheThreshold) {
  for (int i = 0; i < 100; ++i) {
    AnsweredCalls(4, milliseconds(6));
    UnansweredCalls(3);
  }
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

}  // namespace
}  // namespace berylreach::limits
