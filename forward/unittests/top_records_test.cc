// Guards against merged answers that lack one of the greatest records or
// contain an incomplete one.
#include "berylreach/forward/top_records.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace berylreach::forward {
namespace {

TEST(TopRecordsTest, GreatestFirstWithEqualRecords) {
  EXPECT_EQ(TopRecords({"aacc", "ccbb"}, 2, 3), "ccccbb");
}

TEST(TopRecordsTest, BytesAreUnsignedAndRemaindersAreNoRecords) {
  EXPECT_EQ(TopRecords({std::string_view("\x01\xff\x7f", 3), "\xfe"}, 1, 2),
            "\xff\xfe");
  EXPECT_EQ(TopRecords({"abc"}, 2, 5), "ab");
}

TEST(TopRecordsTest, NoRecords) {
  EXPECT_EQ(TopRecords({}, 16, 3), "");
  EXPECT_EQ(TopRecords({"abcd"}, 2, 0), "");
}

// Compares the result with a plain sort (seed 3).
TEST(TopRecordsTest, MatchesPlainSort) {
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    std::vector<std::string> bodies(random() % 5);
    std::vector<std::string> all;
    for (std::string& body : bodies) {
      for (std::size_t i = 0; i < random() % 6; ++i) {
        std::string record = {static_cast<char>('a' + random() % 4),
                              static_cast<char>('a' + random() % 4)};
        all.push_back(record);
        body += record;
      }
    }
    std::sort(all.rbegin(), all.rend());
    const std::size_t count = random() % 8;
    std::string expected;
    for (std::size_t i = 0; i < std::min(count, all.size()); ++i)
      expected += all[i];
    EXPECT_EQ(TopRecords({bodies.begin(), bodies.end()}, 2, count), expected);
  }
}

}  // namespace
}  // namespace berylreach::forward
