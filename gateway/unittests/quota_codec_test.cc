// Tests of the encoding of claims and grants.
#include "berylreach/gateway/quota_codec.h"

#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

TEST(QuotaCodecTest, MessagesRoundTrip) {
  const QuotaClaims claims{
      .from = "host 1",
      .claims = {
          {.limit = "tenant/\"a\"", .region = "r", .tokens = 2.25},
          {.limit = "b",
           .region = "",
           .kind = forward::ClaimKind::kForOwner,
           .tokens = 0.1},
          {.limit = "c", .region = "r", .kind = forward::ClaimKind::kRelease}}};
  EXPECT_EQ(ParseQuotaClaims(FormatQuotaClaims(claims)), claims);
  const std::vector<forward::Grant> grants = {
      {.limit = "a", .status = forward::GrantStatus::kGranted, .tokens = 1.5},
      {.limit = "b",
       .status = forward::GrantStatus::kEmpty,
       .retry_after = std::chrono::milliseconds(70)},
      {.limit = "c", .status = forward::GrantStatus::kReleasedByNewcomer},
      {.limit = "d"}};
  EXPECT_EQ(ParseQuotaGrants(FormatQuotaGrants(grants)), grants);
}

// Guards against tokens that arise from malformed messages.
TEST(QuotaCodecTest, MalformedMessagesAreRejected) {
  const auto claim = [](const std::string& fields) {
    return R"({"from":"h","claims":[{"limit":"a","region":"r",)" + fields +
           "}]}";
  };
  EXPECT_TRUE(ParseQuotaClaims(claim(R"("for":"requests","tokens":1)")));
  for (const std::string fields :
       {R"("for":"requests","tokens":-1)", R"("for":"requests","tokens":1e300)",
        R"("for":"requests","tokens":"1")", R"("for":"requests")",
        R"("for":"all","tokens":1)", R"("tokens":1)"})
    EXPECT_FALSE(ParseQuotaClaims(claim(fields))) << fields;
  for (const std::string text :
       {"", "[]", "{}", R"({"from":"h"})", R"({"from":"h","claims":{}})",
        R"({"from":"h","claims":[1]})", R"({"claims":[]})"})
    EXPECT_FALSE(ParseQuotaClaims(text)) << text;
  const std::string grants = R"({"grants":[{"limit":"a","status":"granted",)";
  EXPECT_TRUE(ParseQuotaGrants(grants + R"("tokens":1,"retry_after_ms":0}]})"));
  EXPECT_FALSE(
      ParseQuotaGrants(grants + R"("tokens":1,"retry_after_ms":-5}]})"));
  EXPECT_FALSE(
      ParseQuotaGrants(grants + R"("tokens":1e999,"retry_after_ms":0}]})"));
}

// Guards against messages that take long to parse.
TEST(QuotaCodecTest, LongMessagesAreRejected) {
  QuotaClaims claims{.from = "h", .claims = {}};
  claims.claims.resize(kMaxClaimsPerMessage + 1, {.limit = "a"});
  EXPECT_FALSE(ParseQuotaClaims(FormatQuotaClaims(claims)));
  claims.claims.resize(kMaxClaimsPerMessage);
  EXPECT_TRUE(ParseQuotaClaims(FormatQuotaClaims(claims)));
  EXPECT_FALSE(ParseQuotaClaims(FormatQuotaClaims(claims) +
                                std::string(kMaxQuotaMessageBytes, ' ')));
}

}  // namespace
}  // namespace berylreach::gateway
