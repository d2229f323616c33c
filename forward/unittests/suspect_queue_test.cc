// Guards against one write for every failing leaf, and against dropping entries
// of blocked requests because the queue is full of entries of suspect ones.
#include "berylreach/forward/suspect_queue.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using model::SuspectState;

class SuspectQueueTest : public testing::Test {
 protected:
  /// An idle time before the first entry must not allow more than kBurst writes
  /// at once.
  SuspectQueueTest() { clock_.Advance(std::chrono::hours(1)); }

  static model::SuspectEntry Entry(
      std::uint64_t fingerprint, SuspectState state = SuspectState::kSuspect) {
    return {.fingerprint = fingerprint, .state = state, .crashes = 1};
  }

  base::ManualClock clock_;
  SuspectQueue queue_{clock_};
};

// Guards against writing all queued entries at once.
TEST_F(SuspectQueueTest, WritesABurstAndThenAtTheRate) {
  for (std::uint64_t i = 0; i < 20; ++i) queue_.Put(Entry(i));
  int taken = 0;
  while (queue_.Take()) ++taken;
  EXPECT_EQ(taken, SuspectQueue::kBurst);
  ASSERT_TRUE(queue_.NextWriteAt());
  EXPECT_EQ(*queue_.NextWriteAt(), clock_.Now() + SuspectQueue::kInterval);
  clock_.Advance(SuspectQueue::kInterval);
  EXPECT_TRUE(queue_.Take());
  EXPECT_FALSE(queue_.Take());
}

// Guards against an older entry that replaces a newer one after a failed write.
TEST_F(SuspectQueueTest, KeepsTheNewestEntryOfARequest) {
  queue_.Put(Entry(1));
  queue_.Put(Entry(1, SuspectState::kBlocked));
  EXPECT_EQ(queue_.size(), 1U);
  EXPECT_EQ(queue_.Take()->state, SuspectState::kBlocked);
  queue_.Put(Entry(1, SuspectState::kBlocked));
  queue_.Requeue(Entry(1));
  EXPECT_EQ(queue_.Take()->state, SuspectState::kBlocked);
}

TEST_F(SuspectQueueTest, IsBoundedAndKeepsBlockedRequests) {
  queue_.Put(Entry(1, SuspectState::kBlocked));
  for (std::uint64_t i = 2; i < 1000; ++i) queue_.Put(Entry(i));
  EXPECT_EQ(queue_.size(), SuspectQueue::kMaxEntries);
  queue_.Put(Entry(1000, SuspectState::kBlocked));
  EXPECT_EQ(queue_.size(), SuspectQueue::kMaxEntries);
  // Take returns the entries of blocked requests first.
  EXPECT_EQ(queue_.Take()->fingerprint, 1U);
  EXPECT_EQ(queue_.Take()->fingerprint, 1000U);
}

// Guards against a crash that other hosts never learn of because a suspicion
// with the same fingerprint follows it.
TEST_F(SuspectQueueTest, SuspicionDoesNotReplaceACrash) {
  queue_.Put(Entry(1));
  queue_.Put({.fingerprint = 1, .crashes = 0});
  const auto taken = queue_.Take();
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->crashes, 1U);
  EXPECT_FALSE(queue_.Take());
}

}  // namespace
}  // namespace berylreach::forward
