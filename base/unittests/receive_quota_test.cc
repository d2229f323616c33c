// Guards against bytes that are never returned to the quota, and against small
// responses that are given up for large ones.
#include "berylreach/base/receive_quota.h"

#include <gtest/gtest.h>

namespace berylreach::base {
namespace {

struct Response : ReceiveQuota::Holder {
  explicit Response(ReceiveQuota& shared) : quota(shared) {}
  void GiveUp() override {
    given_up = true;
    quota.Return(*this);
  }

  ReceiveQuota& quota;
  bool given_up = false;
};

TEST(ReceiveQuotaTest, LargestResponsesAreGivenUpForSmallerOnes) {
  ReceiveQuota quota(100);
  Response largest(quota);
  Response large(quota);
  Response small(quota);
  ASSERT_TRUE(quota.Take(largest, 60));
  ASSERT_TRUE(quota.Take(large, 40));
  EXPECT_TRUE(quota.Take(small, 30));
  EXPECT_TRUE(largest.given_up);
  EXPECT_FALSE(large.given_up);
  EXPECT_EQ(quota.available(), 30U);
}

TEST(ReceiveQuotaTest, LargestResponseGetsNoMoreRoom) {
  ReceiveQuota quota(100);
  Response largest(quota);
  Response small(quota);
  ASSERT_TRUE(quota.Take(largest, 60));
  ASSERT_TRUE(quota.Take(small, 40));
  EXPECT_FALSE(quota.Take(largest, 1));
  EXPECT_FALSE(small.given_up);
  quota.Return(largest);
  quota.Return(largest);
  EXPECT_EQ(quota.available(), 60U);
}

TEST(ReceiveQuotaTest, ResponseBeyondTheWholeQuotaGetsNoRoom) {
  ReceiveQuota quota(100);
  Response response(quota);
  EXPECT_FALSE(quota.Take(response, 101));
  EXPECT_EQ(quota.available(), 100U);
}

}  // namespace
}  // namespace berylreach::base
