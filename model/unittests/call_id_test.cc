// Guards against call ids that change when they are formatted and parsed again,
// and against malformed ids that are accepted.
#include "berylreach/model/call_id.h"

#include <gtest/gtest.h>

namespace berylreach::model {
namespace {

TEST(CallIdTest, TextFormRoundTrips) {
  const CallId id{0xfedcba9876543210ULL, 42};
  EXPECT_EQ(ParseCallId(ToString(id)), id);
}

TEST(CallIdTest, RejectsMalformedText) {
  EXPECT_FALSE(ParseCallId(""));
  EXPECT_FALSE(ParseCallId("fedcba9876543210-000000000000002"));
  EXPECT_FALSE(ParseCallId("fedcba9876543210-00000000000000zz"));
}

}  // namespace
}  // namespace berylreach::model
