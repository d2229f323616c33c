// Tests the division of the shards that an answer may lack among groups of
// shards.
#include "berylreach/forward/allowance.h"

#include <gtest/gtest.h>

#include <numeric>

namespace berylreach::forward {
namespace {

// Guards against groups that together leave out more shards than the answer may
// lack.
TEST(AllowanceTest, SumIsNeverMoreThanAllowed) {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto shares = DivideAllowance(4, {18, 17, 18, 17, 17}, seed);
    EXPECT_EQ(std::accumulate(shares.begin(), shares.end(), std::size_t{0}),
              4U);
  }
}

// Guards against a remainder that always goes to the same groups, whose shards
// would then be left out more often than others.
TEST(AllowanceTest, RemainderRotatesAmongGroups) {
  std::vector<std::size_t> sums(5, 0);
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto shares = DivideAllowance(4, {18, 17, 18, 17, 17}, seed);
    for (std::size_t i = 0; i < sums.size(); ++i) sums[i] += shares[i];
  }
  for (const std::size_t sum : sums) EXPECT_EQ(sum, 80U);
}

// Guards against an allowance that exceeds the size of its group, and against a
// failure with an empty group or without any group.
TEST(AllowanceTest, NoGroupMayLeaveOutMoreThanItHas) {
  EXPECT_EQ(DivideAllowance(9, {2, 0, 3}, 1),
            (std::vector<std::size_t>{2, 0, 3}));
  EXPECT_EQ(DivideAllowance(3, {}, 1), (std::vector<std::size_t>{}));
  EXPECT_EQ(DivideAllowance(0, {4, 4}, 1), (std::vector<std::size_t>{0, 0}));
}

}  // namespace
}  // namespace berylreach::forward
