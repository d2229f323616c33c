// Tests of the encoding of suspect entries.
#include "berylreach/gateway/suspect_codec.h"

#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

TEST(SuspectCodecTest, EntriesRoundTrip) {
  for (const auto state :
       {model::SuspectState::kSuspect, model::SuspectState::kCleared,
        model::SuspectState::kBlocked}) {
    const model::SuspectEntry entry{.fingerprint = 0xfedcba9876543210,
                                    .state = state,
                                    .crashes = 2,
                                    .expires_in = std::chrono::minutes(10)};
    EXPECT_EQ(ParseSuspect(FormatSuspect(entry)), entry);
  }
}

TEST(SuspectCodecTest, HoldsRoundTrip) {
  const model::SuspectEntry entry{
      .fingerprint = 1,
      .expires_in = std::chrono::seconds(8),
      .hold_for = std::chrono::milliseconds(7900),
      .unanswered_leaves = {{"i-1", 1764856000123}, {"i-2"}},
      .doubtful_leaves = {"i-3"}};
  EXPECT_EQ(ParseSuspect(FormatSuspect(entry)), entry);
  const model::SuspectEntry cleared{.fingerprint = 1,
                                    .state = model::SuspectState::kCleared,
                                    .completed = true};
  EXPECT_EQ(ParseSuspect(FormatSuspect(cleared)), cleared);
}

// Guards against taking values that other writers stored under the same keys
// for suspect entries.
TEST(SuspectCodecTest, MalformedEntriesAreRejected) {
  for (const char* text :
       {"", "{}", "[]", R"({"fingerprint":"1","state":"blocked"})",
        R"({"fingerprint":"000000000000001f","state":"odd","ended_leaves":1,
            "expires_in_ms":1})",
        R"({"fingerprint":"000000000000001g","state":"blocked",
            "ended_leaves":1,"expires_in_ms":1})",
        R"({"fingerprint":"000000000000001f","state":"blocked",
            "ended_leaves":"x","expires_in_ms":1})",
        R"({"fingerprint":"000000000000001f","state":"blocked",
            "ended_leaves":-1,"expires_in_ms":1})",
        R"({"fingerprint":"000000000000001f","state":"blocked",
            "ended_leaves":1,"expires_in_ms":1e300})"})
    EXPECT_EQ(ParseSuspect(text), std::nullopt) << text;
}

}  // namespace
}  // namespace berylreach::gateway
