// Guards against work on a leaf while a removed host may still work on it,
// because the removed host is considered fenced too early.
#include "berylreach/membership/removed_host_fences.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include "berylreach/membership/constants.h"
#include "berylreach/membership/head_edits.h"
#include "berylreach/membership/quorum_history.h"
#include "berylreach/membership/takeover_tracker.h"

namespace berylreach::membership {
namespace {

model::Member Host(const char* name) { return {{name}, 1, {"zone"}, "", ""}; }

class RemovedHostFencesTest : public testing::Test {
 protected:
  RemovedHostFencesTest() {
    record_.epoch = 8;
    record_.members = {Host("self"), Host("peer")};
    record_.removed_hosts = {{Host("gone"), 8, 2}};
  }

  void Release(const char* host, std::uint64_t epoch,
               std::vector<model::LeafName> held_leaves = {}) {
    releases_.Record({host}, 1, model::Release{epoch, std::move(held_leaves)});
  }

  /// Whether the first removed host is fenced after another `span`.
  bool FencedAfter(std::chrono::milliseconds span) {
    fences_.Update(record_, {"self"}, now_);
    now_ += span;
    fences_.Update(record_, {"self"}, now_);
    return fences_.Fenced(record_.removed_hosts[0], record_, now_);
  }

  static constexpr auto kWait = kLeaseDuration + kClockMargin;

  model::HeadRecord record_;
  ReleaseTable releases_;
  RemovedHostFences fences_{releases_};
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(9));
};

// Until the last member has sent its Release, it may acknowledge heartbeats of
// the removed host, whose lease can therefore still be extended.
TEST_F(RemovedHostFencesTest, WaitsForTheLeaseAfterTheLastRelease) {
  EXPECT_FALSE(FencedAfter(kWait * 3));
  Release("peer", 7);
  EXPECT_FALSE(FencedAfter(kWait * 3));
  Release("peer", 8);
  EXPECT_FALSE(FencedAfter(kWait - std::chrono::milliseconds(1)));
  EXPECT_TRUE(FencedAfter(std::chrono::milliseconds(1)));
}

// Removed hosts that do not know of their removal may acknowledge each other's
// heartbeats and so keep their leases.
TEST_F(RemovedHostFencesTest, RemovedHostsMayWitnessEachOther) {
  record_.removed_hosts.push_back({Host("gone1"), 8, 2});
  record_.removed_hosts.push_back({Host("gone2"), 8, 2});
  Release("peer", 8);
  EXPECT_FALSE(FencedAfter(kWait * 3));
  Release("gone2", 8);
  EXPECT_TRUE(FencedAfter(kWait));
}

// A removed host may have acknowledged a heartbeat of another removed host
// just before its Release, which extends the lease of the other.
TEST_F(RemovedHostFencesTest, ReleasedWitnessCountsUntilItsLastAckExpires) {
  record_.removed_hosts.push_back({Host("gone1"), 8, 1});
  record_.removed_hosts[0].quorum = 1;
  Release("peer", 8);
  EXPECT_FALSE(FencedAfter(kWait * 3));
  Release("gone1", 8);
  EXPECT_FALSE(FencedAfter(kWait - std::chrono::milliseconds(1)));
  EXPECT_TRUE(FencedAfter(std::chrono::milliseconds(1)));
}

// The calls of a restarted host may run until the lease of its earlier
// incarnation would have expired. Nothing else is required: the earlier
// incarnation cannot send a Release.
TEST_F(RemovedHostFencesTest, ReplacedHostIsFencedOnceItsLeaseExpires) {
  model::Member successor = Host("gone");
  successor.incarnation = 2;
  record_.members.push_back(successor);
  EXPECT_FALSE(FencedAfter(kWait - std::chrono::milliseconds(1)));
  EXPECT_TRUE(FencedAfter(std::chrono::milliseconds(1)));
}

// A host that restarts twice in a row leaves calls of both earlier incarnations
// behind; the second restart must not drop the removed host that the first one
// has added.
TEST_F(RemovedHostFencesTest, RestartKeepsTheEntriesOfEarlierIncarnations) {
  model::HeadRecord record = record_;
  record.members = {Host("self"), Host("gone")};
  record.removed_hosts.clear();
  for (const std::uint64_t incarnation : {2, 3}) {
    model::Member successor = Host("gone");
    successor.incarnation = incarnation;
    record = WithJoined(record, successor);
  }
  EXPECT_EQ(record.members.size(), 2U);
  ASSERT_EQ(record.removed_hosts.size(), 2U);
  record_ = record;
  std::erase_if(record_.members,
                [](const auto& member) { return member.host.value == "gone"; });
  EXPECT_TRUE(FencedAfter(kWait));
}

// A removed host that has sent a Release may still work on the leaves that the
// Release names as held.
TEST_F(RemovedHostFencesTest, OwnReleaseFencesAllButTheHeldLeaves) {
  Release("gone", 8, {{"held"}});
  EXPECT_FALSE(FencedAfter(kWait));
  const model::RemovedHost& removed = record_.removed_hosts[0];
  EXPECT_TRUE(fences_.FencedFor({"other"}, removed, record_, now_));
  EXPECT_FALSE(fences_.FencedFor({"held"}, removed, record_, now_));
  Release("gone", 8);
  EXPECT_TRUE(FencedAfter(kWait));
}

// A member at a later epoch may own the leaf again and work on it, so that its
// Release for that epoch does not release the leaf at the current one.
TEST_F(RemovedHostFencesTest, ReleaseOfALaterEpochCompletesNoTakeover) {
  record_.removed_hosts.clear();
  TakeoverTracker tracker({"self"}, releases_, fences_);
  tracker.SetOwned(8, {{"leaf"}});
  Release("peer", 9);
  EXPECT_TRUE(tracker.Advance(record_, now_).empty());
  record_.epoch = 9;
  tracker.SetOwned(9, {{"leaf"}});
  EXPECT_EQ(tracker.Advance(record_, now_).size(), 1U);
  EXPECT_TRUE(tracker.IsComplete(9, {"leaf"}));
}

// A host that lags behind at an epoch of two members needs one acknowledgement
// for its lease, however many members there are now.
TEST_F(RemovedHostFencesTest, QuorumIsTheMinimumOfAllPossibleEpochs) {
  QuorumHistory quorums;
  quorums.StartEpoch(record_);
  quorums.ConfirmEpoch({"peer"}, 1, 8);
  for (const char* name : {"a", "b", "c", "d"}) {
    record_.members.push_back(Host(name));
  }
  record_.epoch = 9;
  quorums.StartEpoch(record_);
  EXPECT_EQ(quorums.MinimumQuorum(Host("peer")), 1U);
  EXPECT_EQ(quorums.MinimumQuorum(Host("never seen")), 1U);
  quorums.ConfirmEpoch({"peer"}, 1, 9);
  EXPECT_EQ(quorums.MinimumQuorum(Host("peer")), 3U);
}

}  // namespace
}  // namespace berylreach::membership
