// Tests of the encoding of groups of shards.
#include "berylreach/gateway/group_codec.h"

#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

TEST(GroupCodecTest, HeaderRoundTrips) {
  const GroupHeader header{.version = 7,
                           .digest = 0xfedcba9876543210,
                           .shards = {0, 3, 359},
                           .allowed_missing = 2,
                           .may_skip = 1,
                           .partial_in = std::chrono::milliseconds(86)};
  EXPECT_EQ(ParseGroupHeader(FormatGroupHeader(header)), header);
}

// Guards against hosts that run a group on another configuration, because the
// versions or digests of two are rounded to the same number.
TEST(GroupCodecTest, VersionsAndDigestsAreExact) {
  for (const std::uint64_t number :
       {1000000000001U, 9007199254740993U, 18446744073709551615U}) {
    const GroupHeader header{
        .version = number, .digest = number - 1, .shards = {0}};
    EXPECT_EQ(ParseGroupHeader(FormatGroupHeader(header)), header) << number;
  }
}

// Guards against a group without shards or with the same shard twice, whose
// answer would misstate the coverage.
TEST(GroupCodecTest, MalformedHeadersAreRejected) {
  const std::string head =
      R"({"version":1,"digest":2,"allowed_missing":0,"partial_in_ms":5,)";
  EXPECT_TRUE(ParseGroupHeader(head + R"("shards":[1,2]})"));
  EXPECT_FALSE(ParseGroupHeader(""));
  EXPECT_FALSE(ParseGroupHeader("7 100"));
  EXPECT_FALSE(ParseGroupHeader(head + R"("shards":[]})"));
  EXPECT_FALSE(ParseGroupHeader(head + R"("shards":[1,1]})"));
  EXPECT_FALSE(ParseGroupHeader(head + R"("shards":[2,1]})"));
  EXPECT_FALSE(ParseGroupHeader(head + R"("shards":[-1]})"));
  EXPECT_FALSE(ParseGroupHeader(head + R"("shards":["1"]})"));
  EXPECT_FALSE(ParseGroupHeader(R"({"version":1,"shards":[1]})"));
}

// Guards against hosts running groups for each other although their routes list
// the shards in different order, so that positions mean other shards.
TEST(GroupCodecTest, DigestDependsOnTheOrderOfShards) {
  const forward::Route route{.name = "r", .shards = {"a", "b"}};
  const forward::Route reordered{.name = "r", .shards = {"b", "a"}};
  EXPECT_NE(ShardDigest(route), ShardDigest(reordered));
}

// Guards against hosts running groups for each other although their routes lead
// to different answers.
TEST(GroupCodecTest, DigestDependsOnRecordsAndAttempts) {
  const forward::Route route{.name = "r", .shards = {"a"}, .top_records = 5};
  forward::Route fewer_records = route;
  fewer_records.top_records = 4;
  EXPECT_NE(ShardDigest(route), ShardDigest(fewer_records));
  forward::Route more_attempts = route;
  more_attempts.attempts = route.attempts + 1;
  EXPECT_NE(ShardDigest(route), ShardDigest(more_attempts));
}

// Guards against record bytes, such as line ends, that break the header.
TEST(GroupCodecTest, RecordsOfAnyBytesRoundTrip) {
  const std::string records("\0\r\n\xff", 4);
  EXPECT_EQ(ParseRecords(FormatRecords(records)), records);
  EXPECT_FALSE(ParseRecords("*"));
}

TEST(GroupCodecTest, SignaturesRoundTrip) {
  const std::vector<std::string> signatures = {"3e1b.07", "77c0.09", "x"};
  EXPECT_EQ(SplitSignatures(JoinSignatures(signatures)), signatures);
  EXPECT_TRUE(SplitSignatures("").empty());
}

}  // namespace
}  // namespace berylreach::gateway
