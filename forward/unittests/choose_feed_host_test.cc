// Tests the choice of the hosts that read the store and of the host that each
// other host follows.
#include "berylreach/forward/choose_feed_host.h"

#include <gtest/gtest.h>

#include <set>

namespace berylreach::forward {
namespace {

std::vector<HostEntry> Zone(std::size_t size) {
  std::vector<HostEntry> hosts;
  for (std::size_t i = 0; i < size; ++i)
    hosts.push_back({"h" + std::to_string(i), "1:1", "z", 0.1});
  return hosts;
}

bool NoneFailed(const std::string&) { return false; }

// Guards against hosts that depend on a feed although their zone has too few
// hosts to overload the store.
TEST(ChooseFeedHostTest, SmallZonesReadTheStore) {
  for (const HostEntry& host : Zone(4))
    EXPECT_EQ(ChooseFeedHost(host, Zone(4), NoneFailed), std::nullopt);
}

// Guards against a load on the store that grows with the fleet.
TEST(ChooseFeedHostTest, TwoHostsOfALargeZoneReadTheStore) {
  for (const std::size_t size : {5U, 30U, 300U}) {
    const std::vector<HostEntry> hosts = Zone(size);
    std::size_t readers = 0;
    std::set<std::string> followed;
    for (const HostEntry& host : hosts) {
      const auto feed = ChooseFeedHost(host, hosts, NoneFailed);
      if (feed) {
        followed.insert(feed->name);
      } else {
        ++readers;
      }
    }
    EXPECT_EQ(readers, 2U) << size;
    EXPECT_LE(followed.size(), 2U) << size;
  }
}

// Guards against followers that get no changes after the loss of a reader.
TEST(ChooseFeedHostTest, FollowerFallsBackToTheOtherReaderThenToTheStore) {
  const std::vector<HostEntry> hosts = Zone(10);
  for (const HostEntry& host : hosts) {
    const auto first = ChooseFeedHost(host, hosts, NoneFailed);
    if (!first) continue;
    const auto second = ChooseFeedHost(
        host, hosts,
        [&](const std::string& name) { return name == first->name; });
    ASSERT_TRUE(second);
    EXPECT_NE(second->name, first->name);
    EXPECT_EQ(
        ChooseFeedHost(host, hosts, [](const std::string&) { return true; }),
        std::nullopt);
  }
}

}  // namespace
}  // namespace berylreach::forward
