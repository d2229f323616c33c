// Guards against requests that end leaf after leaf, and against good requests
// that are held responsible for leaves that ended for another reason.
#include "berylreach/forward/request_quarantine.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kRequest = 7;

class RequestQuarantineTest : public testing::Test {
 protected:
  RequestQuarantineTest() { clock_.Advance(std::chrono::hours(1)); }

  RunPermit Admit() {
    return quarantine_.Admit(kRequest, clock_.Now() + milliseconds(1000));
  }
  void Lose(std::uint64_t run, const std::string& leaf, bool alone = false) {
    quarantine_.OnCallLost(
        {.run = run, .fingerprint = kRequest, .leaf = leaf, .alone = alone});
  }
  void Check(const std::string& leaf, bool ended) {
    quarantine_.OnLeafChecked(leaf, ended, actions_);
  }
  void End(std::uint64_t run, bool completed, bool probed_first = false) {
    quarantine_.OnRunEnded({.run = run,
                            .fingerprint = kRequest,
                            .probed_first = probed_first,
                            .completed = completed},
                           actions_);
  }
  model::SuspectEntry Published() const {
    return std::get<quarantine::PublishSuspects>(actions_.back())
        .update.entries.at(0);
  }

  base::ManualClock clock_;
  RequestQuarantine quarantine_{clock_};
  RequestQuarantine::Actions actions_;
};

TEST_F(RequestQuarantineTest, LeafThatEndedMakesTheNextAttemptProbeFirst) {
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  Lose(1, "a");
  Check("a", true);
  End(1, false);
  ASSERT_EQ(actions_.size(), 1U);
  EXPECT_EQ(Published().state, model::SuspectState::kSuspect);
  EXPECT_FALSE(quarantine_.MayRunForOthers(kRequest));
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
}

TEST_F(RequestQuarantineTest, SecondLeafThatEndsBlocks) {
  Lose(1, "a");
  End(1, false);
  Check("a", true);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  Lose(2, "b", /*alone=*/true);
  End(2, false, true);
  Check("b", true);
  EXPECT_EQ(Published().state, model::SuspectState::kBlocked);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
  EXPECT_GT(quarantine_.BlockedFor(kRequest), std::chrono::minutes(9));
}

// Both orders in which the two checks may end.
TEST_F(RequestQuarantineTest, TwoLeavesOfOneRunBlock) {
  Lose(1, "a");
  Lose(1, "b", /*alone=*/true);
  Check("b", true);
  EXPECT_TRUE(actions_.empty());
  Check("a", true);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
  End(1, false);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
}

// A reset, a lost answer or a garbled one leaves the process alive.
TEST_F(RequestQuarantineTest, LostConnectionOfALivingLeafIsNoEvidence) {
  Lose(1, "a");
  Check("a", false);
  Lose(1, "b", /*alone=*/true);
  Check("b", false);
  End(1, false);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// A connection was reset first, so that the one leaf that ended may have done
// so for any reason.
TEST_F(RequestQuarantineTest, OneLeafThatEndedDoesNotBlock) {
  Lose(1, "a");
  Check("a", false);
  Lose(1, "b", /*alone=*/true);
  Check("b", true);
  End(1, false);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

TEST_F(RequestQuarantineTest, RequestThatCompletedIsNotHeldResponsible) {
  Lose(1, "a");
  Check("a", true);
  Lose(1, "b");
  End(1, /*completed=*/true);
  Check("b", true);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

TEST_F(RequestQuarantineTest, SuspectThatCompletesIsClearedEverywhere) {
  Lose(1, "a");
  Check("a", true);
  End(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  End(2, /*completed=*/true, /*probed_first=*/true);
  EXPECT_EQ(Published().state, model::SuspectState::kCleared);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  RequestQuarantine other(clock_);
  EXPECT_TRUE(other.Merge({.fingerprint = kRequest,
                           .state = model::SuspectState::kSuspect,
                           .crashes = 1,
                           .expires_in = std::chrono::minutes(10)}));
  EXPECT_FALSE(other.MayRunForOthers(kRequest));
  EXPECT_TRUE(other.Merge(Published()));
  EXPECT_TRUE(other.MayRunForOthers(kRequest));
}

TEST_F(RequestQuarantineTest, AttemptThatWasNotRunLeavesTheNextOneFree) {
  Lose(1, "a");
  Check("a", true);
  End(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  quarantine_.OnNotRun(kRequest);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against a popular request that is held up because the leaf of its
// lone call is silent.
TEST_F(RequestQuarantineTest, SilentLeafHoldsUpASuspectUntilItsAnswerIsDue) {
  Lose(1, "a");
  Check("a", true);
  End(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
  clock_.Advance(milliseconds(1000));
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
  End(2, false, /*probed_first=*/true);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst) << "its time is over, none ended";
}

TEST_F(RequestQuarantineTest, LostCallHoldsUpASuspectUntilItsLeafIsChecked) {
  Lose(1, "a");
  Check("a", true);
  End(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  Lose(2, "b", /*alone=*/true);
  End(2, false, /*probed_first=*/true);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
  Check("b", false);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

TEST_F(RequestQuarantineTest, BlockEndsAfterItsTime) {
  Lose(1, "a");
  Lose(1, "b", /*alone=*/true);
  Check("a", true);
  Check("b", true);
  End(1, false);
  ASSERT_EQ(Admit(), RunPermit::kBlocked);
  clock_.Advance(quarantine::Quarantine::kEntryLifetime);
  quarantine_.Tick();
  EXPECT_EQ(quarantine_.size(), 0U);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

}  // namespace
}  // namespace berylreach::forward
