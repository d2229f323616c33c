// Tests which changes of the store a host passes on to its followers.
#include "berylreach/forward/change_log.h"

#include <gtest/gtest.h>

namespace berylreach::forward {
namespace {

TEST(ChangeLogTest, NoChangesBeforeTheFirstListing) {
  EXPECT_EQ(ChangeLog().Since(0), std::nullopt);
}

// Guards against a new follower that misses records or gets deleted ones.
TEST(ChangeLogTest, NewFollowerGetsAllRecords) {
  ChangeLog log;
  log.Reset({{"a", "1"}}, 5);
  log.Append({{"b", "2"}, {"a", std::nullopt}}, 7);
  const auto set = log.Since(0);
  ASSERT_TRUE(set);
  EXPECT_TRUE(set->is_full_listing);
  EXPECT_EQ(set->revision, 7U);
  EXPECT_EQ(set->changes, (std::vector<RecordChange>{{"b", "2"}}));
}

// Guards against sending all records to a follower that lacks only a few
// changes.
TEST(ChangeLogTest, FollowerGetsWhatItLacks) {
  ChangeLog log;
  log.Reset({{"a", "1"}}, 5);
  log.Append({{"b", "2"}}, 7);
  log.Append({{"b", std::nullopt}}, 9);
  const auto set = log.Since(7);
  ASSERT_TRUE(set);
  EXPECT_FALSE(set->is_full_listing);
  EXPECT_EQ(set->changes, (std::vector<RecordChange>{{"b", std::nullopt}}));
  EXPECT_EQ(log.Since(9), std::nullopt);
}

// Guards against a follower that misses a change because old changes are
// dropped.
TEST(ChangeLogTest, FollowerFarBehindGetsAllRecords) {
  ChangeLog log;
  log.Reset({{"a", "1"}}, 1);
  for (std::uint64_t i = 2; i < 10000; ++i)
    log.Append({{"a", std::to_string(i)}}, i);
  const auto set = log.Since(2);
  ASSERT_TRUE(set);
  EXPECT_TRUE(set->is_full_listing);
  EXPECT_EQ(set->changes, (std::vector<RecordChange>{{"a", "9999"}}));
}

}  // namespace
}  // namespace berylreach::forward
