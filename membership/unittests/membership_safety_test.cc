// Random schedules of faults of hosts, network and store, with fixed seeds.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

#include "test_cluster.h"

namespace berylreach::membership {
namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 6;

void InjectHostFault(TestCluster& cluster) {
  const int number = cluster.Random(0, kHosts - 1);
  TestHost& host = *cluster.hosts[number];
  switch (cluster.Random(0, 5)) {
    case 0:
      host.suspended = true;
      break;
    case 1:
      host.suspended = false;
      break;
    case 2:
      host.alive = false;
      break;
    case 3:
      if (!host.alive || host.membership->has_left()) cluster.Restart(number);
      break;
    case 4:
      if (!host.suspended && host.alive) cluster.Leave(number);
      break;
    default:
      host.partition = cluster.Random(0, 2);
  }
}

void InjectStoreFault(TestCluster& cluster) {
  cluster.store.down = cluster.Random(0, 3) == 0;
  cluster.store.disconnected_host = cluster.Random(-6, kHosts - 1);
  if (cluster.Random(0, 4) == 0 && !cluster.store.record().members.empty()) {
    cluster.store.Submit();
  }
}

void Heal(TestCluster& cluster) {
  cluster.store.down = false;
  cluster.store.disconnected_host = -1;
  cluster.message_loss = 0;
  cluster.max_delay_ms = 5;
  for (int i = 0; i < kHosts; ++i) {
    TestHost& host = *cluster.hosts[i];
    host.partition = 0;
    host.suspended = false;
    if (!host.alive || host.membership->has_left()) cluster.Restart(i);
  }
}

class MembershipSafetyTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against two hosts that work on one leaf at the same time, and against
// a cluster that does not recover once all faults have ended.
TEST_P(MembershipSafetyTest, OneOwnerPerLeafUnderFaults) {
  TestCluster cluster(kHosts, GetParam());
  cluster.message_loss = 0.02;
  cluster.max_delay_ms = cluster.Random(5, 250);
  cluster.store.lost_answers = 0.15;
  cluster.store.stale_reads = 0.15;
  for (auto& host : cluster.hosts) {
    host->clock_rate = 1 + cluster.Random(-40, 40) / 1000.0;
  }
  for (int i = 0; i < kHosts; ++i) {
    cluster.Start(i);
    cluster.Run(milliseconds(cluster.Random(0, 1500)));
  }
  for (int fault = 0; fault < 60; ++fault) {
    InjectHostFault(cluster);
    if (cluster.Random(0, 2) == 0) InjectStoreFault(cluster);
    cluster.Run(milliseconds(cluster.Random(0, 2500)));
    ASSERT_EQ(cluster.conflicts, 0) << "after fault " << fault;
  }
  Heal(cluster);
  cluster.Run(std::chrono::seconds(15));
  // Hosts that were still leaving at the first Heal have left by now; the
  // second one restarts them.
  Heal(cluster);
  cluster.Run(std::chrono::seconds(45));
  EXPECT_EQ(cluster.conflicts, 0);
  EXPECT_EQ(cluster.LeaseHolders(), kHosts);
  EXPECT_EQ(cluster.ServedLeaves(), 12);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipSafetyTest,
                         testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace berylreach::membership
