// Guards against values from the store that are truncated or changed when they
// are decoded, and against malformed base64 that is accepted.
#include "berylreach/config/base64.h"

#include <gtest/gtest.h>

namespace berylreach::config {
namespace {

using namespace std::string_literals;

TEST(Base64Test, DecodesEveryLengthOfTheLastGroup) {
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_EQ(DecodeBase64("Zg=="), "f");
  EXPECT_EQ(DecodeBase64("Zm8="), "fo");
  EXPECT_EQ(DecodeBase64("Zm9v"), "foo");
  EXPECT_EQ(DecodeBase64("Zm9vYg=="), "foob");
  EXPECT_EQ(DecodeBase64("AP/+AA=="), "\x00\xff\xfe\x00"s);
}

TEST(Base64Test, RejectsMalformedText) {
  for (const char* text : {"Zg", "Zg=", "Z", "Zm9v!Zm9", "Zm9v\n", "=m9v"})
    EXPECT_EQ(DecodeBase64(text), std::nullopt) << text;
}

}  // namespace
}  // namespace berylreach::config
