// Tests the assignment of coordinators to slices, and the choice of the hosts
// to which a sender keeps connections.
#include "berylreach/forward/slice_assignment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace berylreach::forward {
namespace {

std::vector<std::string> Names(const std::string& prefix, std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

// Guards against slices without a host, and against an uneven assignment.
TEST(SliceAssignmentTest, EachCoordinatorHasOneSliceAndEachSliceAHost) {
  const auto slices = AssignSlices(Names("c", 17), 5);
  std::set<std::string> seen;
  for (const auto& hosts : slices) {
    EXPECT_GE(hosts.size(), 3U);
    EXPECT_LE(hosts.size(), 4U);
    seen.insert(hosts.begin(), hosts.end());
  }
  EXPECT_EQ(seen.size(), 17U);
}

// Guards against moving many coordinators to other slices after the loss of
// one, because each of them needs new connections to all leaves of its new
// slice.
TEST(SliceAssignmentTest, LossOfCoordinatorMovesFewOthers) {
  const auto names = Names("c", 6);
  const auto before = AssignSlices(names, 5);
  for (const std::string& lost : names) {
    std::vector<std::string> left = names;
    std::erase(left, lost);
    const auto after = AssignSlices(left, 5);
    std::size_t moved = 0;
    for (std::size_t slice = 0; slice < 5; ++slice) {
      for (const std::string& host : after[slice])
        moved += static_cast<std::size_t>(
            std::find(before[slice].begin(), before[slice].end(), host) ==
            before[slice].end());
    }
    EXPECT_LE(moved, 2U) << lost;
  }
}

TEST(SliceAssignmentTest, SenderOfSmallRegionKnowsAllItsCoordinators) {
  const auto hosts = HostsForSender("s", AssignSlices(Names("c", 2), 1));
  ASSERT_EQ(hosts.size(), 1U);
  EXPECT_EQ(hosts[0].primaries.size(), 2U);
  EXPECT_TRUE(hosts[0].backups.empty());
  EXPECT_TRUE(hosts[0].fallbacks.empty());
}

// Guards against slices without a backup in a small region.
TEST(SliceAssignmentTest, BackupIsHostOfAnotherSliceWhereThereIsNoOther) {
  const auto slices = AssignSlices(Names("c", 5), 5);
  for (const SliceHosts& hosts : HostsForSender("s", slices)) {
    EXPECT_EQ(hosts.primaries.size(), 1U);
    EXPECT_EQ(hosts.backups.size(), 1U);
    EXPECT_EQ(hosts.fallbacks.size(), 3U);
    EXPECT_NE(hosts.primaries, hosts.backups);
  }
}

// Guards against connections per host that grow with the fleet, at senders or
// at coordinators.
TEST(SliceAssignmentTest, ConnectionsOfLargeFleetAreBoundedAndSpread) {
  constexpr std::size_t senders = 800;
  constexpr std::size_t count = 45;
  const auto slices = AssignSlices(Names("c", 72), count);
  std::map<std::string, std::size_t> accepted;
  for (const std::string& sender : Names("s", senders)) {
    std::set<std::string> linked;
    for (const SliceHosts& hosts : HostsForSender(sender, slices)) {
      linked.insert(hosts.primaries.begin(), hosts.primaries.end());
      linked.insert(hosts.backups.begin(), hosts.backups.end());
    }
    EXPECT_LE(linked.size(), 3 * count);
    for (const std::string& host : linked) ++accepted[host];
  }
  for (const auto& [host, connections] : accepted)
    EXPECT_LE(connections, senders) << host;
}

// Guards against overloading one backup, because all senders of a lost host
// fall back to the same one.
TEST(SliceAssignmentTest, SendersOfLostHostSpreadOverItsBackups) {
  const auto slices = AssignSlices(Names("c", 10), 10);
  std::map<std::string, std::size_t> fallback_hosts;
  for (const std::string& sender : Names("s", 300))
    ++fallback_hosts[HostsForSender(sender, slices)[0].backups.at(0)];
  EXPECT_GE(fallback_hosts.size(), 7U);
  for (const auto& [host, senders] : fallback_hosts)
    EXPECT_LE(senders, 120U) << host;
}

}  // namespace
}  // namespace berylreach::forward
