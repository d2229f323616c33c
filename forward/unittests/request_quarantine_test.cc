// Guards against requests that crash one leaf after another, and against
// harmless requests that are held responsible for leaves that crashed for
// another reason.
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
  void LoseCall(std::uint64_t run, const std::string& leaf,
                bool sole_call = false) {
    quarantine_.OnCallLost({.run = run,
                            .fingerprint = kRequest,
                            .leaf = leaf,
                            .sole_call = sole_call});
  }
  void CheckLeaf(const std::string& leaf, bool crashed) {
    quarantine_.OnLeafChecked(leaf, crashed, actions_);
  }
  void EndRun(std::uint64_t run, bool completed, bool probed_first = false) {
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

// Guards against a second attempt that runs without restrictions after a leaf
// has crashed, or beside another attempt.
TEST_F(RequestQuarantineTest, CrashedLeafMakesTheNextAttemptProbeFirst) {
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  LoseCall(1, "a");
  CheckLeaf("a", true);
  EndRun(1, false);
  ASSERT_EQ(actions_.size(), 1U);
  EXPECT_EQ(Published().state, model::SuspectState::kSuspect);
  EXPECT_FALSE(quarantine_.MayRunForOthers(kRequest));
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
}

// Guards against running a suspect request again after a second leaf has
// crashed.
TEST_F(RequestQuarantineTest, SecondCrashedLeafBlocks) {
  LoseCall(1, "a");
  EndRun(1, false);
  CheckLeaf("a", true);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  LoseCall(2, "b", /*sole_call=*/true);
  EndRun(2, false, true);
  CheckLeaf("b", true);
  EXPECT_EQ(Published().state, model::SuspectState::kBlocked);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
  EXPECT_GT(quarantine_.BlockedFor(kRequest), std::chrono::minutes(9));
}

// Guards against a request that is not blocked because the check of the second
// leaf finishes before that of the first.
TEST_F(RequestQuarantineTest, TwoLeavesOfOneRunBlock) {
  LoseCall(1, "a");
  LoseCall(1, "b", /*sole_call=*/true);
  CheckLeaf("b", true);
  EXPECT_TRUE(actions_.empty());
  CheckLeaf("a", true);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
  EndRun(1, false);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
}

// Guards against blaming a request for a reset connection, or for a lost or
// invalid answer, while the leaf's process is alive.
TEST_F(RequestQuarantineTest, LostConnectionToALiveLeafIsNoEvidence) {
  LoseCall(1, "a");
  CheckLeaf("a", false);
  LoseCall(1, "b", /*sole_call=*/true);
  CheckLeaf("b", false);
  EndRun(1, false);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against a block after a single crash, which may have any cause. The
// first call lost only its connection; its leaf is alive.
TEST_F(RequestQuarantineTest, OneCrashedLeafDoesNotBlock) {
  LoseCall(1, "a");
  CheckLeaf("a", false);
  LoseCall(1, "b", /*sole_call=*/true);
  CheckLeaf("b", true);
  EndRun(1, false);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against blaming a request for a leaf that crashed although another
// leaf completed the request.
TEST_F(RequestQuarantineTest, RequestThatCompletedIsNotHeldResponsible) {
  LoseCall(1, "a");
  CheckLeaf("a", true);
  LoseCall(1, "b");
  EndRun(1, /*completed=*/true);
  CheckLeaf("b", true);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against a harmless request that stays suspect at other hosts.
TEST_F(RequestQuarantineTest, SuspectThatCompletesIsClearedEverywhere) {
  LoseCall(1, "a");
  CheckLeaf("a", true);
  EndRun(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  EndRun(2, /*completed=*/true, /*probed_first=*/true);
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

// Guards against a suspect request that stays busy after an attempt that never
// ran.
TEST_F(RequestQuarantineTest, AttemptThatWasNotRunAdmitsTheNextOne) {
  LoseCall(1, "a");
  CheckLeaf("a", true);
  EndRun(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  quarantine_.OnNotRun(kRequest);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against a frequent request that is never admitted because the leaf of
// its first call does not answer.
TEST_F(RequestQuarantineTest, SilentLeafDelaysASuspectUntilItsAnswerIsDue) {
  LoseCall(1, "a");
  CheckLeaf("a", true);
  EndRun(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
  clock_.Advance(milliseconds(1000));
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
  EndRun(2, false, /*probed_first=*/true);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst)
      << "its answer is overdue and no leaf crashed";
}

// Guards against a further attempt of a suspect request before it is known
// whether the leaf of a lost call has crashed.
TEST_F(RequestQuarantineTest, LostCallDelaysASuspectUntilItsLeafIsChecked) {
  LoseCall(1, "a");
  CheckLeaf("a", true);
  EndRun(1, false);
  ASSERT_EQ(Admit(), RunPermit::kProbeFirst);
  LoseCall(2, "b", /*sole_call=*/true);
  EndRun(2, false, /*probed_first=*/true);
  EXPECT_EQ(Admit(), RunPermit::kBusy);
  CheckLeaf("b", false);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against a request that stays blocked forever.
TEST_F(RequestQuarantineTest, BlockExpires) {
  LoseCall(1, "a");
  LoseCall(1, "b", /*sole_call=*/true);
  CheckLeaf("a", true);
  CheckLeaf("b", true);
  EndRun(1, false);
  ASSERT_EQ(Admit(), RunPermit::kBlocked);
  clock_.Advance(quarantine::Quarantine::kEntryLifetime);
  quarantine_.Tick();
  EXPECT_EQ(quarantine_.size(), 0U);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

}  // namespace
}  // namespace berylreach::forward
