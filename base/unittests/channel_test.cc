// Guards against items that stay in a channel because its consumer was never
// woken for them, and against redundant wake-ups.
#include "berylreach/base/channel.h"

#include <gtest/gtest.h>

#include <vector>

namespace berylreach::base {
namespace {

class ChannelTest : public testing::Test {
 protected:
  int wakeups_ = 0;
  Channel<int> channel_{3, [this] { ++wakeups_; }};
};

TEST_F(ChannelTest, WakesOnceUntilItIsDrained) {
  channel_.TryPush(1);
  channel_.TryPush(2);
  EXPECT_EQ(wakeups_, 1);
  EXPECT_EQ(channel_.Drain(), (std::vector{1, 2}));
  channel_.TryPush(3);
  EXPECT_EQ(wakeups_, 2);
}

TEST_F(ChannelTest, RejectsItemsWhenFull) {
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(channel_.TryPush(i));
  EXPECT_FALSE(channel_.TryPush(3));
  EXPECT_EQ(channel_.Drain(), (std::vector{0, 1, 2}));
}

TEST_F(ChannelTest, FlushWakesOnceForAllEarlierItems) {
  channel_.TryPush(1, Wakeup::kAtFlush);
  channel_.TryPush(2, Wakeup::kAtFlush);
  EXPECT_EQ(wakeups_, 0);
  channel_.Flush();
  channel_.Flush();
  EXPECT_EQ(wakeups_, 1);
}

// An item of a second producer must not wait until the first producer flushes.
TEST_F(ChannelTest, PushOfAnotherProducerWakesBeforeTheFlush) {
  channel_.TryPush(1, Wakeup::kAtFlush);
  channel_.TryPush(2);
  EXPECT_EQ(wakeups_, 1);
  channel_.Flush();
  EXPECT_EQ(wakeups_, 1);
}

TEST_F(ChannelTest, FlushDoesNotWakeForDrainedItems) {
  channel_.TryPush(1, Wakeup::kAtFlush);
  channel_.Drain();
  channel_.Flush();
  EXPECT_EQ(wakeups_, 0);
}

TEST_F(ChannelTest, DoesNotWakeAgainBeforeThePendingWakeupIsServed) {
  channel_.TryPush(1);
  channel_.TryPush(2, Wakeup::kAtFlush);
  channel_.Flush();
  EXPECT_EQ(wakeups_, 1);
}

}  // namespace
}  // namespace berylreach::base
