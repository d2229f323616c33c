// Guards against followers that wait for a reader as long as for any other
// although what it knew was already old, so that they learn of a change seconds
// late if it falls silent.
#include "berylreach/forward/poll_times.h"

#include <gtest/gtest.h>

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

PollTimes Times(int wait_ms, int timeout_ms) {
  return {.wait = milliseconds(wait_ms), .timeout = milliseconds(timeout_ms)};
}

TEST(PollTimesTest, UsualPollWaitsInFull) {
  EXPECT_EQ(PollTimesFor(milliseconds(500)), Times(2000, 3000));
  EXPECT_EQ(PollTimesFor(milliseconds(800)), Times(2000, 2700));
}

TEST(PollTimesTest, PollIsGivenUpOnceTheViewIsTooOld) {
  EXPECT_EQ(PollTimesFor(milliseconds(1800)), Times(1200, 1700));
  EXPECT_EQ(PollTimesFor(milliseconds(2700)), Times(300, 800));
}

TEST(PollTimesTest, PollWithAnOldViewStillWaits) {
  EXPECT_EQ(PollTimesFor(std::chrono::hours(1)), Times(300, 800));
}

// Guards against short polls of readers of older builds.
TEST(PollTimesTest, UnknownAgeShortensNothing) {
  EXPECT_EQ(PollTimesFor(std::nullopt), Times(2000, 3000));
}

}  // namespace
}  // namespace berylreach::forward
