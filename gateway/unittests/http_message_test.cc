// Tests of header fields and of the feed's encoding.
#include "berylreach/gateway/http_message.h"

#include <gtest/gtest.h>

#include "berylreach/gateway/feed_codec.h"

namespace berylreach::gateway {
namespace {

TEST(HttpFieldsTest, ForwardsEndToEndFields) {
  HttpFields fields;
  fields.Add("Host", "h");
  fields.Add("Connection", "close, X-Hop");
  fields.Add("X-Hop", "1");
  fields.Add("Keep-Alive", "timeout=3");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("X-Kept", "2");
  fields.Add("X-Replaced", "3");
  EXPECT_EQ(fields.ForwardedLines({"x-replaced"}), "Host: h\r\nX-Kept: 2\r\n");
}

TEST(HttpFieldsTest, KeepAliveTimeoutInSeconds) {
  HttpFields fields;
  EXPECT_EQ(KeepAliveTimeout(fields).count(), 0);
  fields.Add("Keep-Alive", "max=4, timeout=12");
  EXPECT_EQ(KeepAliveTimeout(fields).count(), 12);
}

TEST(RetryAfterTest, ReadsSecondsWithAndWithoutFraction) {
  HttpFields fields;
  EXPECT_EQ(ParseRetryAfter(fields), RetryAfter{});
  fields.Add("Retry-After", "0.25");
  EXPECT_EQ(ParseRetryAfter(fields).wait, std::chrono::milliseconds(250));
  fields.Add("Retry-After", "3");
  EXPECT_EQ(ParseRetryAfter(fields).wait, std::chrono::seconds(3))
      << "the longest holds";
  fields.Add("Retry-After", "2");
  EXPECT_EQ(ParseRetryAfter(fields).wait, std::chrono::seconds(3));
}

TEST(RetryAfterTest, LimitsLargeValues) {
  for (const char* text : {"86400000", "1000000000000000000000000000000000"}) {
    HttpFields fields;
    fields.Add("Retry-After", text);
    EXPECT_EQ(ParseRetryAfter(fields).wait, kMaxRetryAfter) << text;
    EXPECT_FALSE(ParseRetryAfter(fields).malformed) << text;
  }
}

// Guards against a leaf that is not called, or a process that crashes, because
// of a value that is not a time in seconds.
TEST(RetryAfterTest, IgnoresMalformedValues) {
  for (const char* text : {"", "-1", "soon", "1s", "nan", "inf", "1e3", "0x10",
                           "Fri, 04 Dec 2026 14:00:00 GMT"}) {
    HttpFields fields;
    fields.Add("Retry-After", text);
    EXPECT_EQ(ParseRetryAfter(fields),
              (RetryAfter{.wait = std::nullopt, .malformed = true}))
        << text;
    fields.Add("Retry-After", "1");
    EXPECT_EQ(ParseRetryAfter(fields).wait, std::chrono::seconds(1)) << text;
  }
}

// Guards against a limit that is lost, or taken as zero, because of a value
// that is not a number.
TEST(RateLimitTest, ReadsTheSmallestNumber) {
  HttpFields fields;
  EXPECT_EQ(ParseRateLimit(fields, "x-limit"), std::nullopt);
  for (const char* text : {"", "-1", "many", "nan", "inf", "1/s"}) {
    fields.Add("X-Limit", text);
    EXPECT_EQ(ParseRateLimit(fields, "x-limit"), std::nullopt) << text;
  }
  fields.Add("X-Limit", "17.9");
  fields.Add("X-Limit", "20");
  EXPECT_EQ(ParseRateLimit(fields, "x-limit"), 17.9);
  fields.Add("X-Limit", "0");
  EXPECT_EQ(ParseRateLimit(fields, "x-limit"), 0.0);
}

TEST(FeedCodecTest, ChangeSetsRoundTrip) {
  const forward::ChangeSet set{
      .position = {.era = 3, .revision = 9},
      .is_full_listing = true,
      .changes = {{"a", std::string("\x00\xff", 2)}, {"b", std::nullopt}},
      .current_after_arrival = std::chrono::milliseconds(-1250),
      .changes_after_arrival = std::chrono::milliseconds(300),
      .poll_wait = std::chrono::milliseconds(1200)};
  EXPECT_EQ(ParseChangeSet(FormatChangeSet(set)), set);
}

// Guards against a follower that asks for changes after a rounded revision.
TEST(FeedCodecTest, RevisionsAreExact) {
  for (const std::uint64_t revision :
       {1000000000001U, 9007199254740993U, 18446744073709551615U}) {
    const forward::ChangeSet set{
        .position = {.era = revision, .revision = revision}};
    EXPECT_EQ(ParseChangeSet(FormatChangeSet(set)), set) << revision;
  }
}

// Guards against applying changes that could not be read completely.
TEST(FeedCodecTest, MalformedSetsAreRejected) {
  for (const char* text :
       {"", "[]", "{}", R"({"revision":1,"whole":true})",
        R"({"revision":"x","whole":true,"changes":[]})",
        R"({"revision":1,"era":"x","whole":true,"changes":[]})",
        R"({"revision":1,"whole":true,"changes":[],
            "current_after_arrival_ms":1e300})",
        R"({"revision":1,"whole":true,"changes":[],
            "changes_after_arrival_ms":"x"})",
        R"({"revision":1,"whole":true,"changes":[],
            "poll_wait_ms":"x"})",
        R"({"revision":1,"whole":true,"changes":[{"key":1}]})",
        R"({"revision":1,"whole":true,"changes":[{"key":"a","value":"!"}]})"})
    EXPECT_EQ(ParseChangeSet(text), std::nullopt) << text;
}

}  // namespace
}  // namespace berylreach::gateway
