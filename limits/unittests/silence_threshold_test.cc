// Guards against a threshold so low that probes close the connections of a slow
// service, and so high that broken connections are found late.
#include "berylreach/limits/silence_threshold.h"

#include <gtest/gtest.h>

#include <chrono>

namespace berylreach::limits {
namespace {

using std::chrono::milliseconds;

class SilenceThresholdTest : public testing::Test {
 protected:
  void Answers(int count, milliseconds latency) {
    for (int i = 0; i < count; ++i) threshold_.OnAnswer(latency);
  }

  void Silences(int count) {
    for (int i = 0; i < count; ++i) threshold_.OnSilence(threshold_.Value());
  }

  SilenceThreshold threshold_;
};

TEST_F(SilenceThresholdTest, UnknownServiceHasTheMinimumThreshold) {
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  Answers(3, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

TEST_F(SilenceThresholdTest, FastServiceHasTheMinimumThreshold) {
  Answers(500, milliseconds(6));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  Answers(500, milliseconds(166));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

TEST_F(SilenceThresholdTest, SlowServiceHasThreeTimesItsP99) {
  Answers(500, milliseconds(170));
  EXPECT_EQ(threshold_.Value(), milliseconds(510));
  Answers(500, milliseconds(300));
  EXPECT_EQ(threshold_.Value(), milliseconds(900));
}

TEST_F(SilenceThresholdTest, TheSlowestPercentDoesNotCount) {
  Answers(508, milliseconds(10));
  Answers(4, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  Answers(4, milliseconds(400));
  EXPECT_EQ(threshold_.Value(), milliseconds(1200));
}

TEST_F(SilenceThresholdTest, FollowsAServiceThatBecomesFastAgain) {
  Answers(512, milliseconds(300));
  Answers(512, milliseconds(6));
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

// Guards against a service that always takes longer than the threshold: all its
// calls would be abandoned and no latency would ever be recorded.
TEST_F(SilenceThresholdTest, RisesForAServiceThatNeverAnswersInTime) {
  Silences(6);
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
  Silences(1);
  EXPECT_EQ(threshold_.Value(), milliseconds(1500));
}

TEST_F(SilenceThresholdTest, RisesForAServiceThatHasBecomeSlow) {
  Answers(512, milliseconds(6));
  Silences(10);
  EXPECT_EQ(threshold_.Value(), milliseconds(1500));
}

TEST_F(SilenceThresholdTest,
       BrokenConnectionsBetweenAnswersDoNotRaiseTheThreshold) {
  for (int i = 0; i < 100; ++i) {
    Answers(4, milliseconds(6));
    Silences(3);
  }
  EXPECT_EQ(threshold_.Value(), milliseconds(500));
}

}  // namespace
}  // namespace berylreach::limits
