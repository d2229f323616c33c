// Guards against the removal of a running host because one network link to it
// is broken, and against a partitioned host that removes all others.
#include "berylreach/membership/removal_objections.h"

#include <gtest/gtest.h>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

const model::HostName kHost{"b1"};

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

TEST(RemovalObjectionsTest, AllowsARemovalWithoutObjection) {
  RemovalObjections objections;
  objections.SetCandidates({kHost}, At(kFailureTimeout));
  EXPECT_TRUE(objections.Removable(true, At(kFailureTimeout)).empty());
  const auto later = At(kFailureTimeout + kObjectionWindow);
  EXPECT_EQ(objections.Removable(true, later), std::vector{kHost});
}

TEST(RemovalObjectionsTest, AnObjectionProtectsAsLongAsItIsRepeated) {
  RemovalObjections objections;
  objections.SetCandidates({kHost}, At(kFailureTimeout));
  const auto objected = At(kFailureTimeout + kObjectionWindow);
  objections.OnObjection(kHost, objected);
  EXPECT_TRUE(objections.Removable(true, objected).empty());
  EXPECT_FALSE(
      objections.Removable(true, objected + kObjectionLifetime).empty());
}

TEST(RemovalObjectionsTest, MinorityHostDelaysRemovals) {
  RemovalObjections objections;
  objections.SetCandidates({kHost}, At(kFailureTimeout));
  const auto soon = At(kFailureTimeout + kObjectionWindow);
  EXPECT_TRUE(objections.Removable(false, soon).empty());
  const auto late = At(kFailureTimeout + kMinorityRemovalDelay);
  EXPECT_FALSE(objections.Removable(false, late).empty());
}

TEST(RemovalObjectionsTest, InquiresAgainAfterTheInterval) {
  RemovalObjections objections;
  const auto now = At(kFailureTimeout);
  objections.SetCandidates({kHost}, now);
  EXPECT_EQ(objections.HostsToInquireAbout(now).size(), 1U);
  EXPECT_TRUE(objections.HostsToInquireAbout(now).empty());
  EXPECT_EQ(objections.HostsToInquireAbout(now + kSilenceNoticeInterval).size(),
            1U);
}

}  // namespace
}  // namespace berylreach::membership
