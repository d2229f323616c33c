// Joining, leases, failures, takeover and leaving in a simulated cluster.
#include "berylreach/membership/membership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <variant>
#include <vector>

#include "berylreach/membership/constants.h"
#include "test_cluster.h"

namespace berylreach::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against hosts that join at the same time and overwrite each other's
// entry in the head record.
TEST(MembershipTest, RacingHostsAllJoinAndServeEveryLeaf) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.store.record().members.size(), 6U);
  EXPECT_EQ(cluster.LeaseHolders(), 6);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against more than 3 calls per second to the store and the host list
// when nothing changes.
TEST(MembershipTest, IdleMembersCallThePlatformAtMostThreeTimesASecond) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.store.calls = 0;
  cluster.polls = 0;
  cluster.Run(seconds(60));
  EXPECT_LE(cluster.store.calls + cluster.polls, 3 * 60);
  EXPECT_GE(cluster.polls, 80);
}

// Guards against leases that are lost while the store is unavailable.
TEST(MembershipTest, LeasesOutlastAStoreOutage) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.store.down = true;
  cluster.events.clear();
  cluster.store.calls = 0;
  cluster.Run(seconds(60));
  EXPECT_EQ(cluster.events["lease_lost"], 0);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  // Each of the two delegates retries its watch at most every 500 ms.
  EXPECT_LE(cluster.store.calls, 2 * 2 * 60);
}

// Guards against a sole host that cannot get a lease because it has no
// witnesses.
TEST(MembershipTest, SoleHostLeasesThroughTheStore) {
  TestCluster cluster(1);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.events.clear();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.events["lease_lost"], 0);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
}

// Guards against a host that continues to serve although it reaches neither the
// other hosts nor the store.
TEST(MembershipTest, IsolatedHostLosesItsLeaseWithinItsDuration) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.hosts[2]->partition = 1;
  cluster.store.disconnected_host = 2;
  cluster.Run(kLeaseDuration);
  EXPECT_FALSE(cluster.membership(2).HoldsLease());
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.store.record().members.size(), 5U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against leaves of a crashed host that remain without an owner.
TEST(MembershipTest, LeavesOfAKilledHostAreTakenOver) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.hosts[1]->alive = false;
  cluster.Run(milliseconds(3500));
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a host that, after its process was suspended, serves under its
// earlier epoch or does not join again.
TEST(MembershipTest, SuspendedHostRejoinsWithAHigherEpoch) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto epoch = cluster.membership(3).epoch();
  cluster.hosts[3]->suspended = true;
  cluster.Run(seconds(6));
  EXPECT_FALSE(cluster.membership(3).HoldsLease());
  cluster.hosts[3]->suspended = false;
  cluster.Run(seconds(4));
  EXPECT_GE(cluster.membership(3).epoch(), epoch + 2);
  EXPECT_EQ(cluster.LeaseHolders(), 6);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a witness that, after its process was suspended, removes
// members whose heartbeats it missed in the meantime.
TEST(MembershipTest, ResumedWitnessRemovesNoMember) {
  TestCluster cluster(3);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto epoch = cluster.store.record().epoch;
  cluster.store.down = true;
  cluster.hosts[0]->suspended = true;
  cluster.Run(milliseconds(1400));
  // Host 0 resumes in another partition, so that the messages that were sent to
  // it while it was suspended are lost. It regains its lease through the store.
  cluster.hosts[0]->partition = 1;
  cluster.Run(milliseconds(100));
  cluster.store.down = false;
  cluster.hosts[0]->suspended = false;
  cluster.Run(milliseconds(60));
  cluster.hosts[0]->partition = 0;
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.events["removal_proposed"], 0);
  EXPECT_EQ(cluster.store.record().epoch, epoch);
}

// Guards against a planned stop during which leaves have no owner for the
// duration of a lease, or two hosts that work on them.
TEST(MembershipTest, LeavingHostHandsOverLeavesWithoutWaitingForItsLease) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.Leave(4);
  cluster.Run(milliseconds(1500));
  EXPECT_TRUE(cluster.membership(4).has_left());
  EXPECT_FALSE(cluster.membership(4).HoldsLease());
  EXPECT_EQ(cluster.membership(4).LeaseExpiry(), base::TimePoint::min());
  EXPECT_EQ(cluster.store.record().members.size(), 5U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a host that continues to serve by an older document than its
// witnesses.
TEST(MembershipTest, HostWithoutTheNewDocumentLosesItsLease) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.adopt_documents = false;
  cluster.store.Submit();
  cluster.Run(seconds(1));
  const Versions newer{cluster.store.record().document};
  for (int i = 1; i < 6; ++i) {
    cluster.ApplyEvent(
        i, [&](Membership& m, Actions& out) { m.SetVersions(newer, out); });
  }
  cluster.Run(seconds(2));
  EXPECT_FALSE(cluster.membership(0).HoldsLease());
  EXPECT_EQ(cluster.LeaseHolders(), 5);
  cluster.ApplyEvent(
      0, [&](Membership& m, Actions& out) { m.SetVersions(newer, out); });
  EXPECT_TRUE(cluster.membership(0).HoldsLease());
}

// Guards against a host that does not notice that it has joined or left because
// the answer to its write was lost.
TEST(MembershipTest, LostStoreAnswersAreResolvedByReadingBack) {
  TestCluster cluster(3, 7);
  cluster.store.lost_answers = 1;
  cluster.StartAll();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.store.record().members.size(), 3U);
  EXPECT_EQ(cluster.LeaseHolders(), 3);
  cluster.Leave(0);
  cluster.Run(seconds(5));
  EXPECT_TRUE(cluster.membership(0).has_left());
  EXPECT_EQ(cluster.store.record().members.size(), 2U);
}

// Guards against a join that overwrites newer changes of the head record
// because it is based on a stale read.
TEST(MembershipTest, StaleReadsDoNotRevertTheHead) {
  TestCluster cluster(4, 3);
  cluster.store.stale_reads = 0.7;
  cluster.StartAll();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.store.record().members.size(), 4U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against delayed messages of an earlier incarnation that count as
// heartbeats of the current one or are acknowledged.
TEST(MembershipTest, HeartbeatOfAnOlderIncarnationIsDropped) {
  TestCluster cluster(3);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto old_incarnation = cluster.hosts[1]->incarnation;
  cluster.Restart(1);
  cluster.Run(seconds(3));
  Actions out;
  cluster.membership(0).OnMessage(
      cluster.hosts[1]->name, old_incarnation,
      model::Heartbeat{
          1, old_incarnation, cluster.membership(0).epoch(), {}, 0, 0, 0},
      out);
  for (const Action& action : out) {
    const auto* send = std::get_if<SendTo>(&action);
    if (send == nullptr || send->host != cluster.hosts[1]->name) continue;
    EXPECT_FALSE(std::holds_alternative<model::HeartbeatAck>(send->message));
  }
  EXPECT_EQ(cluster.LeaseHolders(), 3);
}

// Guards against a witness that grants a heartbeat of an epoch other than its
// own.
TEST(MembershipTest, WitnessGrantsOnlyItsOwnEpoch) {
  TestCluster cluster(2);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const TestHost& sender = *cluster.hosts[1];
  const auto epoch = cluster.membership(0).epoch();
  std::vector<bool> grants;
  for (const auto asked : {epoch - 1, epoch}) {
    Actions out;
    cluster.membership(0).OnMessage(
        sender.name, sender.incarnation,
        model::Heartbeat{1, sender.incarnation, asked, {}, 0, 0, 0}, out);
    for (const Action& action : out) {
      const auto* send = std::get_if<SendTo>(&action);
      if (send == nullptr) continue;
      const auto* ack = std::get_if<model::HeartbeatAck>(&send->message);
      if (ack != nullptr) grants.push_back(ack->granted);
    }
  }
  EXPECT_EQ(grants, (std::vector<bool>{false, true}));
}

}  // namespace
}  // namespace berylreach::membership
