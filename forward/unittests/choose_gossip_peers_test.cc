// Guards against updates that do not reach the whole fleet by gossip while the
// store is unreachable.
#include "berylreach/forward/choose_gossip_peers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace berylreach::forward {
namespace {

std::vector<std::string> Fleet(std::size_t count) {
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < count; ++i)
    hosts.push_back("host-" + std::to_string(i));
  return hosts;
}

/// Result of spreading an update from the first host. Lost hosts, which neither
/// receive nor forward the update, count as reached.
struct Spread {
  std::size_t reached = 0;
  std::size_t steps = 0;
  std::size_t messages = 0;
};

Spread SpreadUpdate(std::size_t count, std::size_t loss_interval,
                    std::size_t fanout = kGossipFanout) {
  const std::vector<std::string> hosts = Fleet(count);
  std::set<std::string> lost;
  for (std::size_t i = 1; loss_interval != 0 && i < count; i += loss_interval)
    lost.insert(hosts[i]);
  std::set<std::string> reached = {hosts[0]};
  std::vector<std::string> newly_reached = {hosts[0]};
  Spread spread;
  while (!newly_reached.empty()) {
    std::vector<std::string> next;
    for (const std::string& host : newly_reached) {
      for (const std::string& other :
           ChooseGossipPeers(host, hosts, 7, fanout)) {
        ++spread.messages;
        if (lost.contains(other) || !reached.insert(other).second) continue;
        next.push_back(other);
      }
    }
    newly_reached = std::move(next);
    ++spread.steps;
  }
  spread.reached = reached.size() + lost.size();
  return spread;
}

TEST(ChooseGossipPeersTest, SmallFleetIsReachedInOneStep) {
  const auto peers = ChooseGossipPeers("host-2", Fleet(6), 7);
  EXPECT_EQ(peers.size(), 5U);
  EXPECT_EQ(std::count(peers.begin(), peers.end(), "host-2"), 0);
  EXPECT_TRUE(ChooseGossipPeers("host-0", Fleet(1), 7).empty());
}

// Guards against a load on restarting leaves that grows with the fleet, and
// against leaves that no host checks.
TEST(ChooseGossipPeersTest, ThreeHostsCheckTheLeavesOfAHeldRequest) {
  for (const std::size_t count : {1U, 2U, 6U, 200U}) {
    const std::vector<std::string> hosts = Fleet(count);
    std::set<std::string> all_checkers;
    for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
      std::size_t checkers = 0;
      for (const std::string& host : hosts) {
        if (!ChecksLeavesOf(fingerprint, host, hosts)) continue;
        ++checkers;
        all_checkers.insert(host);
      }
      EXPECT_EQ(checkers, std::min(count, kLeafCheckers));
    }
    EXPECT_GT(all_checkers.size(), std::min<std::size_t>(count, 50) / 2)
        << "requests are spread over the hosts";
  }
}

class FleetSizeTest : public testing::TestWithParam<std::size_t> {};

TEST_P(FleetSizeTest, UpdateReachesNearlyAllHostsInAFewSteps) {
  const std::size_t hosts = GetParam();
  for (const std::size_t loss_interval : {0U, 10U, 3U}) {
    const Spread spread = SpreadUpdate(hosts, loss_interval);
    EXPECT_GE(spread.reached * 100, hosts * 99)
        << hosts << " " << loss_interval;
    EXPECT_LE(spread.steps, 10U);
    EXPECT_LE(spread.messages, hosts * kGossipFanout);
  }
}

// Guards against suspicions that cost much, since they are frequent where
// leaves are slow, and against hosts that do not learn of them.
TEST_P(FleetSizeTest, SuspicionReachesNearlyAllHostsAtALowCost) {
  const std::size_t count = GetParam();
  const Spread spread = SpreadUpdate(count, 0, kSuspicionFanout);
  EXPECT_GE(static_cast<double>(spread.reached),
            0.98 * static_cast<double>(count));
  EXPECT_LE(spread.messages, kSuspicionFanout * count);
  EXPECT_LE(spread.steps, 10U);
}

INSTANTIATE_TEST_SUITE_P(Hosts, FleetSizeTest,
                         testing::Values(6, 85, 200, 2400));

}  // namespace
}  // namespace berylreach::forward
