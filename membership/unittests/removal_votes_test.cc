// Guards against the removal of a running host because one network link to it
// is broken, and against a partitioned host that removes all others.
#include "berylreach/membership/removal_votes.h"

#include <gtest/gtest.h>

#include "berylreach/membership/constants.h"

namespace berylreach::membership {
namespace {

const model::HostName kHost{"b1"};

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

TEST(RemovalVotesTest, AllowsARemovalWithoutObjection) {
  RemovalVotes votes;
  votes.SetCandidates({kHost}, At(kFailureTimeout));
  EXPECT_TRUE(votes.Removable(true, At(kFailureTimeout)).empty());
  const auto later = At(kFailureTimeout + kObjectionWindow);
  EXPECT_EQ(votes.Removable(true, later), std::vector{kHost});
}

TEST(RemovalVotesTest, AnObjectionProtectsAsLongAsItIsRepeated) {
  RemovalVotes votes;
  votes.SetCandidates({kHost}, At(kFailureTimeout));
  const auto objected = At(kFailureTimeout + kObjectionWindow);
  votes.OnObjection(kHost, objected);
  EXPECT_TRUE(votes.Removable(true, objected).empty());
  EXPECT_FALSE(votes.Removable(true, objected + kObjectionLifetime).empty());
}

TEST(RemovalVotesTest, MinorityHostDelaysRemovals) {
  RemovalVotes votes;
  votes.SetCandidates({kHost}, At(kFailureTimeout));
  const auto soon = At(kFailureTimeout + kObjectionWindow);
  EXPECT_TRUE(votes.Removable(false, soon).empty());
  const auto late = At(kFailureTimeout + kMinorityRemovalDelay);
  EXPECT_FALSE(votes.Removable(false, late).empty());
}

TEST(RemovalVotesTest, InquiresAgainAfterTheInterval) {
  RemovalVotes votes;
  const auto now = At(kFailureTimeout);
  votes.SetCandidates({kHost}, now);
  EXPECT_EQ(votes.HostsToInquireAbout(now).size(), 1U);
  EXPECT_TRUE(votes.HostsToInquireAbout(now).empty());
  EXPECT_EQ(votes.HostsToInquireAbout(now + kSilenceNoticeInterval).size(), 1U);
}

}  // namespace
}  // namespace berylreach::membership
