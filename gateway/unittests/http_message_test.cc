// Header fields.
#include "berylreach/gateway/http_message.h"

#include <gtest/gtest.h>

#include "berylreach/gateway/feed_codec.h"

namespace berylreach::gateway {
namespace {

TEST(HttpFieldsTest, ForwardsWhatConcernsBothEnds) {
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

TEST(FeedCodecTest, ChangeSetsComeBackWhole) {
  const forward::ChangeSet set{
      .revision = 9,
      .whole = true,
      .changes = {{"a", std::string("\x00\xff", 2)}, {"b", std::nullopt}}};
  EXPECT_EQ(ParseChangeSet(FormatChangeSet(set)), set);
}

TEST(FeedCodecTest, MalformedSetsAreNoSets) {
  for (const char* text :
       {"", "[]", "{}", R"({"revision":1,"whole":true})",
        R"({"revision":"x","whole":true,"changes":[]})",
        R"({"revision":1,"whole":true,"changes":[{"key":1}]})",
        R"({"revision":1,"whole":true,"changes":[{"key":"a","value":"!"}]})"})
    EXPECT_EQ(ParseChangeSet(text), std::nullopt) << text;
}

}  // namespace
}  // namespace berylreach::gateway
