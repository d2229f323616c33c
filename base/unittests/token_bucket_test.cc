// Guards against extra work that exceeds its configured fraction of regular
// work, as retries could during an overload.
#include "berylreach/base/token_bucket.h"

#include <gtest/gtest.h>

namespace berylreach::base {
namespace {

TEST(TokenBucketTest, BoundsExtraWorkToItsRatio) {
  // 10,000 units of regular work add up to 500 tokens to the 10 that the full
  // bucket starts with.
  TokenBucket bucket(/*ratio=*/0.05, /*burst=*/10);
  int extra = 0;
  for (int i = 0; i < 10000; ++i) {
    bucket.RecordWork();
    if (bucket.TrySpend()) ++extra;
  }
  EXPECT_LE(extra, 510);
  EXPECT_GE(extra, 490);
}

}  // namespace
}  // namespace berylreach::base
