// Scenarios of several hosts: joining, leases, failures, takeover, leaving.
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

// Guards against hosts that race to join and overwrite each other.
TEST(MembershipTest, RacingHostsAllJoinAndServeEveryLeaf) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.store.record().members.size(), 6U);
  EXPECT_EQ(cluster.Leases(), 6);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against more than 3 calls/s to the platform when nothing changes.
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

// Guards against leases that depend on the store.
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
  // Two watches, each repeated at least 500 ms apart.
  EXPECT_LE(cluster.store.calls, 2 * 2 * 60);
}

// Guards against a sole host that never gets a lease for want of witnesses.
TEST(MembershipTest, SoleHostLeasesThroughTheStore) {
  TestCluster cluster(1);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.events.clear();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.events["lease_lost"], 0);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
}

// Guards against a host that goes on serving without contact to anyone.
TEST(MembershipTest, IsolatedHostLosesItsLeaseWithinItsDuration) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.hosts[2]->partition = 1;
  cluster.store.disconnected_host = 2;
  cluster.Run(kLeaseDuration);
  EXPECT_FALSE(cluster.machine(2).HoldsLease());
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.store.record().members.size(), 5U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against leaves of a dead host that stay without an owner.
TEST(MembershipTest, LeavesOfAKilledHostAreTakenOver) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.hosts[1]->alive = false;
  cluster.Run(milliseconds(3500));
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a woken host that serves under its old epoch or stays out.
TEST(MembershipTest, FrozenHostRejoinsWithAHigherEpoch) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto epoch = cluster.machine(3).epoch();
  cluster.hosts[3]->frozen = true;
  cluster.Run(seconds(6));
  EXPECT_FALSE(cluster.machine(3).HoldsLease());
  cluster.hosts[3]->frozen = false;
  cluster.Run(seconds(4));
  EXPECT_GE(cluster.machine(3).epoch(), epoch + 2);
  EXPECT_EQ(cluster.Leases(), 6);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a woken witness that removes members it did not listen to.
TEST(MembershipTest, WokenWitnessRemovesNobody) {
  TestCluster cluster(3);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto epoch = cluster.store.record().epoch;
  cluster.store.down = true;
  cluster.hosts[0]->frozen = true;
  cluster.Run(milliseconds(1400));
  // The messages of the others are lost while host 0 is frozen, and its lease
  // comes back by a touch.
  cluster.hosts[0]->partition = 1;
  cluster.Run(milliseconds(100));
  cluster.store.down = false;
  cluster.hosts[0]->frozen = false;
  cluster.Run(milliseconds(60));
  cluster.hosts[0]->partition = 0;
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.events["removal_proposed"], 0);
  EXPECT_EQ(cluster.store.record().epoch, epoch);
}

// Guards against work that is cut, or overlaps, during a planned stop.
TEST(MembershipTest, LeavingHostHandsItsLeavesOverWithoutTheLeaseWait) {
  TestCluster cluster(6);
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.Leave(4);
  cluster.Run(milliseconds(1500));
  EXPECT_TRUE(cluster.machine(4).has_left());
  EXPECT_FALSE(cluster.machine(4).HoldsLease());
  EXPECT_EQ(cluster.machine(4).LeaseExpiry(), base::TimePoint::min());
  EXPECT_EQ(cluster.store.record().members.size(), 5U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against a host that serves by an older document than its witnesses.
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
  EXPECT_FALSE(cluster.machine(0).HoldsLease());
  EXPECT_EQ(cluster.Leases(), 5);
  cluster.ApplyEvent(
      0, [&](Membership& m, Actions& out) { m.SetVersions(newer, out); });
  EXPECT_TRUE(cluster.machine(0).HoldsLease());
}

// Guards against a join or leave that is lost with its answer.
TEST(MembershipTest, LostStoreAnswersAreResolvedByReadingBack) {
  TestCluster cluster(3, 7);
  cluster.store.lost_answers = 1;
  cluster.StartAll();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.store.record().members.size(), 3U);
  EXPECT_EQ(cluster.Leases(), 3);
  cluster.Leave(0);
  cluster.Run(seconds(5));
  EXPECT_TRUE(cluster.machine(0).has_left());
  EXPECT_EQ(cluster.store.record().members.size(), 2U);
}

// Guards against a join that trusts a stale read.
TEST(MembershipTest, StaleReadsDoNotRevertTheHead) {
  TestCluster cluster(4, 3);
  cluster.store.stale_reads = 0.7;
  cluster.StartAll();
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.store.record().members.size(), 4U);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
  EXPECT_EQ(cluster.conflicts, 0);
}

// Guards against messages of an earlier incarnation that keep a member alive or
// are granted an acknowledgement.
TEST(MembershipTest, HeartbeatOfAnOlderIncarnationIsDropped) {
  TestCluster cluster(3);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const auto old_incarnation = cluster.hosts[1]->incarnation;
  cluster.Restart(1);
  cluster.Run(seconds(3));
  Actions out;
  cluster.machine(0).OnMessage(
      cluster.hosts[1]->name, old_incarnation,
      model::Heartbeat{
          1, old_incarnation, cluster.machine(0).epoch(), {}, 0, 0, 0},
      out);
  for (const Action& action : out) {
    const auto* send = std::get_if<SendTo>(&action);
    if (send == nullptr || send->host != cluster.hosts[1]->name) continue;
    EXPECT_FALSE(std::holds_alternative<model::HeartbeatAck>(send->message));
  }
  EXPECT_EQ(cluster.Leases(), 3);
}

// Guards against a witness that acknowledges an epoch which it has left.
TEST(MembershipTest, WitnessGrantsOnlyItsOwnEpoch) {
  TestCluster cluster(2);
  cluster.StartAll();
  cluster.Run(seconds(5));
  const TestHost& sender = *cluster.hosts[1];
  const auto epoch = cluster.machine(0).epoch();
  std::vector<bool> grants;
  for (const auto asked : {epoch - 1, epoch}) {
    Actions out;
    cluster.machine(0).OnMessage(
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
