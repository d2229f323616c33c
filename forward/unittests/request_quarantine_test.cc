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
constexpr milliseconds kRestartListedWithin{2400};

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
  void Observe(const std::string& leaf, LeafSign sign,
               std::uint64_t started_unix_ms = 0) {
    quarantine_.OnLeafObserved({.leaf = leaf,
                                .started_unix_ms = started_unix_ms,
                                .sign = sign,
                                .at = clock_.Now()},
                               actions_);
  }
  /// Runs the periodic task with a view of discovery that is current.
  void TickWithCurrentView(base::TimePoint since = {}) {
    quarantine_.SetViewCurrency({.since = since, .until = clock_.Now()});
    quarantine_.Tick(actions_);
  }
  /// Observes that the leaf has crashed, or that it answers a later call and
  /// that discovery lists no other process after that.
  void CheckLeaf(const std::string& leaf, bool crashed) {
    if (crashed) {
      Observe(leaf, LeafSign::kConnectionRefused);
      return;
    }
    clock_.Advance(milliseconds(1));
    Observe(leaf, LeafSign::kAnswered);
    clock_.Advance(kRestartListedWithin);
    TickWithCurrentView();
  }
  void EndRun(std::uint64_t run, bool completed, bool probed_first = false) {
    quarantine_.OnRunEnded({.run = run,
                            .fingerprint = kRequest,
                            .probed_first = probed_first,
                            .completed = completed},
                           actions_);
  }
  /// The entry of another host that holds the request until the fate of `leaf`
  /// is known.
  static model::SuspectEntry HeldBecauseOf(const std::string& leaf) {
    return {.fingerprint = kRequest,
            .expires_in = std::chrono::seconds(8),
            .hold_for = std::chrono::seconds(8),
            .unanswered_leaves = {{.id = leaf}}};
  }
  model::SuspectEntry Published() const {
    return std::get<quarantine::PublishSuspects>(actions_.back())
        .update.entries.at(0);
  }

  base::ManualClock clock_;
  RequestQuarantine quarantine_{clock_, kRestartListedWithin};
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
  EXPECT_GT(quarantine_.RefusedFor(kRequest), std::chrono::minutes(9));
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
  RequestQuarantine other(clock_, kRestartListedWithin);
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
  EXPECT_EQ(Admit(), RunPermit::kHeld);
  CheckLeaf("b", false);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against a second attempt that runs without restrictions because the
// first leaf's fate is found out late: it starts with one call at once.
TEST_F(RequestQuarantineTest, LostCallsMakeTheNextAttemptStartWithOneCall) {
  LoseCall(1, "a");
  LoseCall(1, "b");
  EndRun(1, false);
  EXPECT_TRUE(actions_.empty()) << "a check may explain the calls at once";
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against other hosts that run the request without restrictions while
// the fate of its leaves is unknown.
TEST_F(RequestQuarantineTest, SuspicionThatLastsIsSharedAndLifted) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  EXPECT_EQ(Admit(), RunPermit::kHeld);
  EXPECT_GT(quarantine_.RefusedFor(kRequest), milliseconds(0));
  clock_.Advance(milliseconds(500));
  quarantine_.Tick(actions_);
  ASSERT_EQ(actions_.size(), 1U);
  const model::SuspectEntry shared = Published();
  EXPECT_EQ(shared.crashes, 0U);
  EXPECT_EQ(shared.state, model::SuspectState::kSuspect);
  EXPECT_GT(shared.hold_for, milliseconds(7000));
  EXPECT_EQ(shared.unanswered_leaves,
            std::vector<model::UnansweredLeaf>{{.id = "a"}});
  quarantine_.Tick(actions_);
  EXPECT_EQ(actions_.size(), 1U) << "it is shared once";

  RequestQuarantine other(clock_, kRestartListedWithin);
  EXPECT_TRUE(other.Merge(shared));
  EXPECT_FALSE(other.Merge(shared)) << "already known";
  EXPECT_EQ(other.Admit(kRequest, clock_.Now() + milliseconds(300)),
            RunPermit::kHeld);
  EXPECT_FALSE(other.MayRunForOthers(kRequest));

  CheckLeaf("a", false);
  ASSERT_EQ(actions_.size(), 2U);
  EXPECT_EQ(Published().state, model::SuspectState::kCleared);
  EXPECT_TRUE(other.Merge(Published()));
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  EXPECT_EQ(other.Admit(kRequest, clock_.Now() + milliseconds(300)),
            RunPermit::kUnrestricted);
}

// Guards against a host that finds out nothing because its own link to the leaf
// is cut: hosts that check for it report what they see.
TEST_F(RequestQuarantineTest, OtherHostsFindOutTheFateOfAHeldRequestsLeaves) {
  const model::SuspectEntry held = HeldBecauseOf("a");
  RequestQuarantine bystander(clock_, kRestartListedWithin);
  ASSERT_TRUE(bystander.Merge(held, /*checks_leaves=*/false));
  EXPECT_TRUE(bystander.LeavesToCheck().empty());
  ASSERT_TRUE(quarantine_.Merge(held, /*checks_leaves=*/true));
  EXPECT_EQ(quarantine_.LeavesToCheck(), std::vector<std::string>{"a"});
  EXPECT_TRUE(quarantine_.LeavesToCheck().empty()) << "checked at intervals";
  clock_.Advance(milliseconds(500));
  EXPECT_EQ(quarantine_.LeavesToCheck(), std::vector<std::string>{"a"});
  CheckLeaf("a", true);
  ASSERT_FALSE(actions_.empty());
  EXPECT_EQ(Published().state, model::SuspectState::kBlocked)
      << "the call was sent alone after another one had been lost";
}

// Guards against requests that are blocked because a host was paused: its
// connections time out or are closed meanwhile.
TEST_F(RequestQuarantineTest, PausedHostForgetsItsLostCalls) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  ASSERT_TRUE(quarantine_.AwaitsObservations());
  quarantine_.OnProcessPaused();
  EXPECT_FALSE(quarantine_.AwaitsObservations());
  CheckLeaf("a", true);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against a request that is refused for ever because a leaf that did not
// answer shows no sign at all.
TEST_F(RequestQuarantineTest, UnexplainedCallIsForgottenInTime) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  clock_.Advance(RequestQuarantine::kEvidenceWait);
  quarantine_.Tick(actions_);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  EXPECT_FALSE(quarantine_.AwaitsObservations());
}

// Guards against good requests that are blocked because their leaves were
// stopped as planned while they ran them.
TEST_F(RequestQuarantineTest, PlannedEndOfALeafIsNoCrash) {
  for (const char* leaf : {"a", "b"}) {
    LoseCall(1, leaf);
    quarantine_.OnLeafObserved({.leaf = leaf,
                                .sign = LeafSign::kUnlisted,
                                .at = clock_.Now(),
                                .was_leaving = true},
                               actions_);
  }
  EndRun(1, false);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against a leaf that is back under its id after some seconds and is
// taken for the process that left the call unanswered, since it answers before
// discovery lists its start (review case 6).
TEST_F(RequestQuarantineTest, AnswerUnderTheIdOfACrashedLeafIsNoProofOfLife) {
  for (const int silence_ms : {1, 2000, 4000}) {
    const auto request = static_cast<std::uint64_t>(silence_ms);
    quarantine_.OnCallLost({.run = request,
                            .fingerprint = request,
                            .leaf = "a",
                            .sole_call = true});
    quarantine_.OnRunEnded({.run = request, .fingerprint = request}, actions_);
    clock_.Advance(milliseconds(silence_ms));
    Observe("a", LeafSign::kAnswered);
    clock_.Advance(kRestartListedWithin - milliseconds(1));
    TickWithCurrentView();
    actions_.clear();
    EXPECT_EQ(quarantine_.Admit(request, clock_.Now()), RunPermit::kHeld)
        << silence_ms;
    Observe("a", LeafSign::kReplaced);
    ASSERT_EQ(actions_.size(), 1U) << silence_ms;
    EXPECT_EQ(Published().crashes, 1U) << silence_ms;
  }
}

// Guards against a good request that is held for longer than it takes to tell
// that its leaf has not started again.
TEST_F(RequestQuarantineTest, AnswerExplainsTheCallOnceDiscoveryIsCurrent) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  clock_.Advance(milliseconds(1));
  Observe("a", LeafSign::kAnswered);
  EXPECT_TRUE(quarantine_.LeavesToCheck().empty()) << "no more is to be seen";
  clock_.Advance(kRestartListedWithin);
  quarantine_.Tick(actions_);
  EXPECT_EQ(Admit(), RunPermit::kHeld) << "the view may be old";
  TickWithCurrentView();
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against the same while the store is away, so that the start of a leaf
// is listed only after its return.
TEST_F(RequestQuarantineTest, AnswerDuringAnOutageExplainsNothingUntilLater) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  clock_.Advance(milliseconds(1));
  Observe("a", LeafSign::kAnswered);
  clock_.Advance(kRestartListedWithin);
  const base::TimePoint returned_at = clock_.Now();
  TickWithCurrentView(returned_at);
  EXPECT_EQ(Admit(), RunPermit::kHeld);
  clock_.Advance(kRestartListedWithin);
  TickWithCurrentView(returned_at);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against an answer of a process that discovery has listed already when
// the loss of the former one's call is noticed. Clocks of leaves may be behind.
TEST_F(RequestQuarantineTest, AnswerOfAnotherStartShowsACrash) {
  for (const std::uint64_t other_start : {2000, 500}) {
    quarantine_.OnCallLost({.run = other_start,
                            .fingerprint = other_start,
                            .leaf = "a",
                            .started_unix_ms = 1000});
    quarantine_.OnRunEnded({.run = other_start, .fingerprint = other_start},
                           actions_);
    actions_.clear();
    Observe("a", LeafSign::kAnswered, other_start);
    ASSERT_FALSE(actions_.empty());
    EXPECT_EQ(Published().crashes, 1U);
  }
}

// Guards against an attempt that crashes a third leaf, since this host's proof
// for the first one ends the hold of another host that waits for the second.
TEST_F(RequestQuarantineTest, OwnProofDoesNotEndTheHoldOfAnotherHost) {
  LoseCall(1, "a");
  EndRun(1, false);
  ASSERT_TRUE(quarantine_.Merge(HeldBecauseOf("b")));
  CheckLeaf("a", /*crashed=*/true);
  EXPECT_EQ(Admit(), RunPermit::kHeld);
}

// Guards against a host that takes its own entry, which others pass on to it,
// for that of another host.
TEST_F(RequestQuarantineTest, OwnProofEndsAHoldThatHasComeBack) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  quarantine_.Merge(HeldBecauseOf("a"));
  CheckLeaf("a", /*crashed=*/true);
  EXPECT_EQ(Admit(), RunPermit::kProbeFirst);
}

// Guards against a hold that is lifted at all hosts since one of two leaves is
// alive.
TEST_F(RequestQuarantineTest, LifeOfOneLeafShowsNothingAboutAnother) {
  model::SuspectEntry held = HeldBecauseOf("a");
  held.unanswered_leaves.push_back({.id = "b", .started_unix_ms = 1000});
  ASSERT_TRUE(quarantine_.Merge(held, /*checks_leaves=*/true));
  CheckLeaf("a", false);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kHeld);
  Observe("b", LeafSign::kAnswered, /*started_unix_ms=*/3000);
  EXPECT_EQ(Admit(), RunPermit::kBlocked);
}

// Guards against a crash that is noticed late because the run of the request
// has not ended: other hosts learn of unanswered calls before.
TEST_F(RequestQuarantineTest, UnansweredCallsOfARunThatGoesOnAreShared) {
  quarantine_.OnCallsUnanswered(
      {{.run = 1, .fingerprint = kRequest, .leaf = "a", .sole_call = true}});
  clock_.Advance(milliseconds(500));
  quarantine_.Tick(actions_);
  ASSERT_EQ(actions_.size(), 1U);
  EXPECT_GT(Published().hold_for, milliseconds(0));
  EndRun(1, /*completed=*/true);
  EXPECT_EQ(Published().state, model::SuspectState::kCleared);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against a good one-time request that another host sends to a leaf that
// has fallen silent, since it has no connection to it that could be reset.
TEST_F(RequestQuarantineTest, SharedSuspicionNamesTheLeavesThatMayBeDown) {
  LoseCall(1, "a");
  LoseCall(1, "b", /*sole_call=*/true);
  EndRun(1, false);
  clock_.Advance(milliseconds(100));
  quarantine_.Tick(actions_);
  ASSERT_EQ(actions_.size(), 1U);
  EXPECT_EQ(Published().unanswered_leaves,
            std::vector<model::UnansweredLeaf>{{.id = "b"}});
  EXPECT_EQ(Published().doubtful_leaves, std::vector<std::string>{"a"});
}

// Guards against a popular good request that is blocked because two leaves
// crash: it completed after their calls were lost (the soak, seed 727).
TEST_F(RequestQuarantineTest, CompletionAfterALossExplainsIt) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  LoseCall(2, "b");
  EndRun(2, false);
  EndRun(3, /*completed=*/true);
  CheckLeaf("a", true);
  CheckLeaf("b", true);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// The same for a completion at another host.
TEST_F(RequestQuarantineTest, CompletionAtAnotherHostExplainsALoss) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  EXPECT_TRUE(quarantine_.Merge({.fingerprint = kRequest,
                                 .state = model::SuspectState::kCleared,
                                 .completed = true}));
  CheckLeaf("a", true);
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

// Guards against losing evidence because another call is explained.
TEST_F(RequestQuarantineTest, ExplainedCallAtAnotherHostExplainsNoOther) {
  LoseCall(1, "a", /*sole_call=*/true);
  EndRun(1, false);
  quarantine_.Merge(
      {.fingerprint = kRequest, .state = model::SuspectState::kCleared});
  CheckLeaf("a", true);
  ASSERT_FALSE(actions_.empty());
  EXPECT_EQ(Published().crashes, 1U);
}

// Guards against hosts that tell each other of a suspicion in circles after it
// was lifted (the soak, seed 727).
TEST_F(RequestQuarantineTest, LateEntryDoesNotRenewALiftedSuspicion) {
  const model::SuspectEntry held = HeldBecauseOf("a");
  const model::SuspectEntry cleared{.fingerprint = kRequest,
                                    .state = model::SuspectState::kCleared,
                                    .completed = true};
  ASSERT_TRUE(quarantine_.Merge(held));
  ASSERT_TRUE(quarantine_.Merge(cleared));
  EXPECT_FALSE(quarantine_.Merge(held));
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
  EndRun(1, /*completed=*/true);
  ASSERT_EQ(actions_.size(), 1U)
      << "the entry was not late, but of a host that suspects the request anew";
  EXPECT_TRUE(Published().completed);
  EndRun(2, /*completed=*/true);
  EXPECT_EQ(actions_.size(), 1U);
  clock_.Advance(milliseconds(1000));
  quarantine_.Tick(actions_);
  EXPECT_TRUE(quarantine_.Merge(held)) << "a new suspicion";
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
  quarantine_.Tick(actions_);
  EXPECT_EQ(quarantine_.size(), 0U);
  EXPECT_EQ(Admit(), RunPermit::kUnrestricted);
}

}  // namespace
}  // namespace berylreach::forward
