// Guards against news that does not reach the fleet while the store is away.
#include "berylreach/forward/choose_listeners.h"

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

/// Hosts that hear of news that begins at the first one, when those in `lost`
/// neither hear nor tell; and the steps that it takes.
struct Spread {
  std::size_t heard = 0;
  std::size_t steps = 0;
  std::size_t messages = 0;
};

Spread Tell(std::size_t count, std::size_t lost_each) {
  const std::vector<std::string> hosts = Fleet(count);
  std::set<std::string> lost;
  for (std::size_t i = 1; lost_each != 0 && i < count; i += lost_each)
    lost.insert(hosts[i]);
  std::set<std::string> heard = {hosts[0]};
  std::vector<std::string> newly = {hosts[0]};
  Spread spread;
  while (!newly.empty()) {
    std::vector<std::string> next;
    for (const std::string& host : newly) {
      for (const std::string& other : ChooseGossipPeers(host, hosts, 7)) {
        ++spread.messages;
        if (lost.contains(other) || !heard.insert(other).second) continue;
        next.push_back(other);
      }
    }
    newly = std::move(next);
    ++spread.steps;
  }
  spread.heard = heard.size() + lost.size();
  return spread;
}

TEST(ChooseListenersTest, SmallFleetHearsAtOnce) {
  const auto listeners = ChooseGossipPeers("host-2", Fleet(6), 7);
  EXPECT_EQ(listeners.size(), 5U);
  EXPECT_EQ(std::count(listeners.begin(), listeners.end(), "host-2"), 0);
  EXPECT_TRUE(ChooseGossipPeers("host-0", Fleet(1), 7).empty());
}

class FleetSizeTest : public testing::TestWithParam<std::size_t> {};

TEST_P(FleetSizeTest, NewsReachesNearlyAllInAFewSteps) {
  const std::size_t hosts = GetParam();
  for (const std::size_t lost_each : {0U, 10U, 3U}) {
    const Spread spread = Tell(hosts, lost_each);
    EXPECT_GE(spread.heard * 100, hosts * 99) << hosts << " " << lost_each;
    EXPECT_LE(spread.steps, 10U);
    EXPECT_LE(spread.messages, hosts * kGossipFanout);
  }
}

INSTANTIATE_TEST_SUITE_P(Hosts, FleetSizeTest,
                         testing::Values(6, 85, 200, 2400));

}  // namespace
}  // namespace berylreach::forward
