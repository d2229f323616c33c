// Tests, in virtual time, requests that crash each leaf that starts to run
// them, and harmless requests during which several leaves crash at the same
// time.
#include <gtest/gtest.h>

#include <memory>

#include "berylreach/forward/request_quarantine.h"
#include "run_fixture.h"

namespace berylreach::forward {
namespace {

class KillingRequestRunTest : public RunFixture {};

// Guards against a first attempt that crashes both leaves of each shard because
// the retries of all shards are sent at once.
TEST_F(KillingRequestRunTest, LostCallsAreRetriedOneAtATime) {
  StartRun(route_);
  ASSERT_EQ(started_.size(), 4U);
  for (std::size_t i = 0; i < 3; ++i)
    Fail(started_[i], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 4U);
  Fail(started_[3], CallFailure::kMayHaveRun);
  ASSERT_EQ(started_.size(), 5U);
  EXPECT_TRUE(started_[4].sole_call);
  AdvanceTo(milliseconds(100));
  EXPECT_EQ(started_.size(), 5U) << "a call that runs alone is not hedged";
  Fail(started_[4], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 5U);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kMayHaveRun);
  EXPECT_FALSE(run_->completed_any());
}

// Guards against harmless requests that fail when several leaves crash
// together.
TEST_F(KillingRequestRunTest, CompletedCallReleasesTheOthers) {
  StartRun(route_);
  Fail(started_[0], CallFailure::kMayHaveRun);
  Fail(started_[1], CallFailure::kMayHaveRun);
  ASSERT_EQ(started_.size(), 4U);
  Reply(started_[2], Success("record-2--------"));
  ASSERT_EQ(started_.size(), 6U);
  EXPECT_FALSE(started_[4].sole_call);
  Fail(started_[3], CallFailure::kMayHaveRun);
  ASSERT_EQ(started_.size(), 7U);
  for (std::size_t i = 4; i < 7; ++i)
    Reply(started_[i], Success("record-" + std::to_string(i) + "--------"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against a harmless request whose deferred calls are never sent after a
// call that ran by itself has completed.
TEST_F(KillingRequestRunTest, SoleCallThatCompletesReleasesTheOthers) {
  StartRun(route_);
  for (std::size_t i = 0; i < 4; ++i)
    Fail(started_[i], CallFailure::kMayHaveRun);
  ASSERT_EQ(started_.size(), 5U);
  Reply(started_[4], Success("record-4--------"));
  EXPECT_EQ(started_.size(), 8U);
}

// Guards against deferring calls although a leaf has answered, even if with a
// failure: it has survived the request.
TEST_F(KillingRequestRunTest, FailureAnswerShowsThatTheLeafIsAlive) {
  StartRun(route_);
  Fail(started_[0], CallFailure::kMayHaveRun);
  Reply(started_[1], Failure(500, /*not_run=*/false));
  EXPECT_EQ(started_.size(), 6U);
  EXPECT_TRUE(run_->completed_any());
}

// Guards against taking a rejection as evidence that leaves survive the
// request: a leaf that rejects a call has not run it.
TEST_F(KillingRequestRunTest, RejectionDoesNotReleaseTheOthers) {
  StartRun(route_);
  Fail(started_[0], CallFailure::kMayHaveRun);
  Reply(started_[1], Failure(503, /*not_run=*/true));
  EXPECT_EQ(started_.size(), 5U) << "only the rejected call is repeated";
  EXPECT_FALSE(run_->completed_any());
}

// Guards against a suspect request that is sent to many leaves before one of
// them has survived it.
TEST_F(KillingRequestRunTest, ProbesWithOneCallAndThenRunsTheRest) {
  MakeRun(route_);
  run_->ProbeFirst();
  run_->Start(actions_);
  CollectActions();
  ASSERT_EQ(started_.size(), 1U);
  EXPECT_TRUE(started_[0].sole_call);
  Reply(started_[0], Success("record-0--------"));
  ASSERT_EQ(started_.size(), 4U);
  EXPECT_FALSE(started_[1].sole_call);
  for (std::size_t i = 1; i < 4; ++i)
    Reply(started_[i], Success("record-" + std::to_string(i) + "--------"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->missing_shards, 0U);
}

// Guards against crashing a further leaf with a suspect request after its first
// call was lost.
TEST_F(KillingRequestRunTest, LostProbeEndsTheRun) {
  MakeRun(route_);
  run_->ProbeFirst();
  run_->Start(actions_);
  CollectActions();
  ASSERT_EQ(started_.size(), 1U);
  Fail(started_[0], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 1U);
  EXPECT_TRUE(reply_);
}

// Guards against a suspect request that fails because all leaves of the probed
// shard are down.
TEST_F(KillingRequestRunTest, ProbeThatIsNotSentIsRetriedAtAnotherLeaf) {
  MakeRun(route_);
  run_->ProbeFirst();
  run_->Start(actions_);
  CollectActions();
  ASSERT_EQ(started_.size(), 1U);
  Fail(started_[0], CallFailure::kNotSent);
  ASSERT_EQ(started_.size(), 2U);
  Fail(started_[1], CallFailure::kNotSent);
  ASSERT_EQ(started_.size(), 3U);
  EXPECT_NE(started_[2].leaf->entry().service,
            started_[1].leaf->entry().service);
  EXPECT_FALSE(reply_);
}

// Guards against crashing one more leaf for each host that runs a group of the
// request.
TEST_F(KillingRequestRunTest, GroupForAnotherHostSendsNoSoleCall) {
  MakeRun(route_);
  run_->RestrictToSubset({.shards = {0, 1},
                          .allowed_missing = 1,
                          .partial_at = clock_.Now() + milliseconds(100)});
  run_->Start(actions_);
  CollectActions();
  ASSERT_EQ(started_.size(), 2U);
  Fail(started_[0], CallFailure::kMayHaveRun);
  EXPECT_FALSE(reply_);
  Fail(started_[1], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 2U);
  EXPECT_TRUE(reply_);
}

// Guards against retries of a request to a single leaf that crash a leaf for
// each attempt that the route allows.
TEST_F(KillingRequestRunTest, SingleLeafRequestCrashesAtMostTwoLeaves) {
  Route single = single_leaf_route_;
  single.idempotent = true;
  single.attempts = 4;
  StartRun(single);
  Fail(started_[0], CallFailure::kMayHaveRun);
  ASSERT_EQ(started_.size(), 2U);
  Fail(started_[1], CallFailure::kMayHaveRun);
  EXPECT_EQ(started_.size(), 2U);
  EXPECT_TRUE(reply_);
}

// One host of a fleet. Its leaves crash while they run the request and restart
// at once as new incarnations.
class FleetHost : public RunFixture {
 public:
  FleetHost() : RunFixture(/*shards=*/20) {}
  void TestBody() override {}

  /// Runs one attempt; returns the number of leaves that crashed. Appends the
  /// quarantine entries that other hosts must learn to `published`.
  int RunAttempt(const Route& route,
                 std::vector<model::SuspectEntry>& published) {
    constexpr std::uint64_t fingerprint = 7;
    const RunPermit permit =
        quarantine_.Admit(fingerprint, clock_.Now() + milliseconds(1000));
    if (permit == RunPermit::kBusy || permit == RunPermit::kBlocked) return 0;
    MakeRun(route);
    started_.clear();
    reply_.reset();
    if (permit == RunPermit::kProbeFirst) run_->ProbeFirst();
    RequestQuarantine::Actions actions;
    const std::uint64_t run = ++runs_;
    run_->Start(actions_);
    CollectActions();
    int crashes = 0;
    while (!reply_ && static_cast<std::size_t>(crashes) < started_.size()) {
      const StartLeafCall call = started_[crashes++];
      const LeafEntry leaf = call.leaf->entry();
      directory_.Remove(leaf.id);
      PutLeaf(leaf.id + "'", leaf.service, leaf.zone);
      quarantine_.OnCallLost({.run = run,
                              .fingerprint = fingerprint,
                              .leaf = leaf.id,
                              .sole_call = call.sole_call});
      Fail(call, CallFailure::kMayHaveRun);
      quarantine_.OnLeafObserved(
          {.leaf = leaf.id, .sign = LeafSign::kConnectionRefused}, actions);
    }
    quarantine_.OnRunEnded({.run = run,
                            .fingerprint = fingerprint,
                            .probed_first = permit == RunPermit::kProbeFirst,
                            .completed = run_->completed_any()},
                           actions);
    for (const quarantine::Action& action : actions)
      for (const auto& entry :
           std::get<quarantine::PublishSuspects>(action).update.entries)
        published.push_back(entry);
    return crashes;
  }

  void Advance(base::Duration span) { clock_.Advance(span); }
  void MergeEntry(const model::SuspectEntry& entry) {
    quarantine_.Merge(entry);
  }
  const Route& search() const { return route_; }
  const Route& fetch() const { return single_leaf_route_; }

 private:
  RequestQuarantine quarantine_{clock_, std::chrono::milliseconds(2400)};
  std::uint64_t runs_ = 0;
};

class KillingRequestFleetTest : public testing::TestWithParam<std::size_t> {
 protected:
  /// Sends the request to the hosts in turn, at intervals longer than the time
  /// in which hosts learn of each other's quarantine entries. Returns the
  /// number of crashed leaves.
  int Simulate(bool scatters) {
    std::vector<std::unique_ptr<FleetHost>> hosts;
    for (std::size_t i = 0; i < GetParam(); ++i)
      hosts.push_back(std::make_unique<FleetHost>());
    int crashes = 0;
    for (std::size_t attempt = 0; attempt < 2 * hosts.size(); ++attempt) {
      FleetHost& host = *hosts[attempt % hosts.size()];
      std::vector<model::SuspectEntry> published;
      crashes +=
          host.RunAttempt(scatters ? host.search() : host.fetch(), published);
      for (const auto& other : hosts) {
        other->Advance(std::chrono::milliseconds(700));
        for (const model::SuspectEntry& published_entry : published)
          other->MergeEntry(published_entry);
      }
    }
    return crashes;
  }
};

// Guards against hosts that each count only the crashes of their own calls, so
// that the number of crashed leaves grows with the fleet.
TEST_P(KillingRequestFleetTest,
       ScatteringRequestCrashesOneLeafOfEachShardPlusOne) {
  EXPECT_EQ(Simulate(/*scatters=*/true), 21);
}

TEST_P(KillingRequestFleetTest, NonIdempotentRequestCrashesTwoLeaves) {
  EXPECT_EQ(Simulate(/*scatters=*/false), 2);
}

INSTANTIATE_TEST_SUITE_P(Hosts, KillingRequestFleetTest,
                         testing::Values(6, 85, 200));

}  // namespace
}  // namespace berylreach::forward
