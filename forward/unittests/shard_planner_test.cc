// Tests the division of the shards of a request among hosts.
#include "berylreach/forward/shard_planner.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/leaf_selector.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

class ShardPlannerTest : public testing::Test {
 protected:
  explicit ShardPlannerTest(std::string zone = "c")
      : location_{.zone = zone,
                  .region = "r" + zone,
                  .region_of_zone = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}},
        directory_(clock_, location_),
        cold_(clock_, {}),
        shares_(clock_),
        rate_(shares_),
        selector_(clock_, directory_, cold_, rate_, shares_),
        planner_(clock_, "c-1", location_, directory_, selector_, shares_) {
    clock_.Advance(std::chrono::hours(1));
    for (int i = 0; i < 4; ++i) {
      const std::string shard = "s" + std::to_string(i);
      route_.shards.push_back(shard);
      services_.push_back({.name = shard, .max_connections = 25});
      PutLeaf(shard, "a");
    }
    route_.name = "search";
    SetHosts({{"a-1", "1:1", "a", 0.25},
              {"a-2", "1:2", "a", 0.25},
              {"b-1", "1:3", "b", 0.25},
              {"c-1", "1:4", "c", 0.25}});
  }

  void PutLeaf(const std::string& shard, const std::string& zone) {
    directory_.Put({.id = shard + "-" + zone,
                    .service = shard,
                    .address = "9:9",
                    .zone = zone});
  }

  void SetHosts(const std::vector<HostEntry>& hosts) {
    planner_.SetHosts(hosts);
  }

  /// Sets up a route of 100 shards, which are too many for this host, and two
  /// large hosts.
  void MakeManyShardsOnSmallHost() {
    route_.objective = milliseconds(150);
    GrowTo(100, "c");
    SetHosts({{"c-big-1", "1:1", "c", 0.5},
              {"c-big-2", "1:2", "c", 0.5},
              {"c-1", "1:3", "c", 0.1},
              {"c-2", "1:4", "c", 0.1}});
  }

  std::vector<ShardGroup> Divide(std::uint64_t seed = 1) {
    const RouteTable table(
        Configuration{.version = 1, .routes = {route_}, .services = services_});
    return planner_.Divide(table, table.configuration().routes[0], seed);
  }

  /// Adds shards up to this number, and a leaf of each shard in the zone.
  void GrowTo(std::size_t shards, const std::string& zone) {
    for (std::size_t i = route_.shards.size(); i < shards; ++i) {
      const std::string shard = "s" + std::to_string(i);
      route_.shards.push_back(shard);
      services_.push_back({.name = shard, .max_connections = 25});
    }
    for (const std::string& shard : route_.shards) PutLeaf(shard, zone);
  }

  base::ManualClock clock_;
  Location location_;
  LeafDirectory directory_;
  ColdCallLimit cold_;
  ServiceShares shares_;
  LeafRateLimit rate_;
  LeafSelector selector_;
  ShardPlanner planner_;
  Route route_;
  std::vector<Service> services_;
};

TEST_F(ShardPlannerTest, RegionWithoutLeavesDelegatesAllShardsToOneRegion) {
  const auto groups = Divide();
  ASSERT_EQ(groups.size(), 1U);
  EXPECT_EQ(groups[0].host->region(), "ra");
  EXPECT_EQ(groups[0].shards.size(), 4U);
}

TEST_F(ShardPlannerTest, HostOfSmallFleetRunsRequestsOfLocalLeavesItself) {
  GrowTo(4, "c");
  EXPECT_TRUE(Divide().empty());
}

// Guards against transferring one answer per shard between regions although one
// merged answer is enough.
TEST_F(ShardPlannerTest, ShardsOfAnotherRegionMakeOneGroup) {
  PutLeaf("s0", "c");
  const auto groups = Divide();
  ASSERT_EQ(groups.size(), 1U);
  EXPECT_EQ(groups[0].host->region(), "ra");
  EXPECT_EQ(groups[0].shards, (std::vector<std::size_t>{1, 2, 3}));
}

// Guards against a message to another region for a single shard.
TEST_F(ShardPlannerTest, SingleShardOfAnotherRegionIsCalledDirectly) {
  for (const char* shard : {"s0", "s1", "s2"}) PutLeaf(shard, "c");
  EXPECT_TRUE(Divide().empty());
}

// Guards against messages to several regions although one of them has leaves of
// all shards.
TEST_F(ShardPlannerTest, DelegatesToAsFewRegionsAsPossible) {
  for (const std::string& shard : route_.shards) PutLeaf(shard, "b");
  EXPECT_EQ(Divide().size(), 1U);
}

// Guards against hosts that open a connection for each call, because their
// share of the leaves' connections is too small.
TEST_F(ShardPlannerTest, LargeFleetDelegatesShardsToLargeHosts) {
  GrowTo(4, "c");
  std::vector<HostEntry> hosts = {{"c-big-1", "1:1", "c", 0.5},
                                  {"c-big-2", "1:2", "c", 0.5}};
  for (int i = 1; i <= 20; ++i)
    hosts.push_back({"c-" + std::to_string(i), "2:1", "c", 0.1});
  SetHosts(hosts);
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const auto groups = Divide(seed);
    ASSERT_EQ(groups.size(), 1U);
    EXPECT_TRUE(groups[0].host->entry().id.starts_with("c-big"));
  }
}

// Guards against requests of hundreds of shards that run too slowly on a
// small host while large hosts are idle.
TEST_F(ShardPlannerTest, SmallHostDividesRequestsOfManyShards) {
  MakeManyShardsOnSmallHost();
  const auto groups = Divide();
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0].shards.size(), 50U);
  EXPECT_EQ(groups[1].shards.size(), 50U);
  EXPECT_NE(groups[0].host, groups[1].host);
}

// Guards against new connections for most calls, because many hosts each call a
// leaf rarely.
TEST_F(ShardPlannerTest, ShardIsAlwaysRunByTheSameHosts) {
  MakeManyShardsOnSmallHost();
  const auto first = Divide(0);
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    const auto groups = Divide(seed);
    ASSERT_EQ(groups.size(), first.size());
    for (std::size_t i = 0; i < groups.size(); ++i) {
      EXPECT_EQ(groups[i].host, first[i].host);
      EXPECT_EQ(groups[i].shards, first[i].shards);
    }
  }
}

// Guards against shards that no host runs while a coordinator is down.
TEST_F(ShardPlannerTest, OtherCoordinatorRunsTheSliceOfUnreachableOne) {
  MakeManyShardsOnSmallHost();
  const auto lost = Divide()[0].host;
  lost->OnCallEnded(clock_.Now(), clock_.Now(), CallOutcome::kUnreachable);
  const auto groups = Divide();
  ASSERT_EQ(groups.size(), 2U);
  for (const ShardGroup& group : groups) EXPECT_NE(group.host, lost);
}

TEST_F(ShardPlannerTest, CoordinatorsAreTheLargestHosts) {
  SetHosts({{"c-1", "1:1", "c", 0.1},
            {"c-2", "1:2", "c", 0.5},
            {"c-3", "1:3", "c", 0.5},
            {"c-4", "1:4", "c", 0.1}});
  EXPECT_EQ(planner_.Coordinators("rc").size(), 2U);
  for (const std::string& name : planner_.Coordinators("rc"))
    EXPECT_TRUE(name == "c-2" || name == "c-3") << name;
}

// Guards against hosts whose shares of the limits are too small, because hosts
// that never call the leaves get equal shares.
TEST_F(ShardPlannerTest, OnlyOwnersOfSliceGetTheOwnersShare) {
  GrowTo(40, "c");
  std::vector<HostEntry> hosts = {{"c-1", "1:1", "c", 0.5},
                                  {"c-big", "1:2", "c", 0.5}};
  for (int i = 2; i <= 30; ++i)
    hosts.push_back({"c-" + std::to_string(i), "2:1", "c", 0.1});
  SetHosts(hosts);
  Divide();
  clock_.Advance(ServiceShares::kSettleTime);
  constexpr RoleShares role_shares{.owners = 1};
  std::size_t owned = 0;
  for (const std::string& shard : route_.shards)
    if (shares_.ShareOf(shard, role_shares) > 0) ++owned;
  EXPECT_EQ(planner_.Coordinators("rc").size(), 2U);
  EXPECT_EQ(owned, 20U);
}

// Guards against leaves that reset the connections of restarted hosts, because
// the connections of the former host processes still count at the leaf.
TEST_F(ShardPlannerTest, HostsTogetherKeepSomeConnectionsFree) {
  const Service service{.name = "s", .max_connections = 25};
  EXPECT_EQ(selector_.ConnectionShare(service), 4U) << "4 hosts";
  std::vector<HostEntry> hosts;
  for (int i = 0; i < 30; ++i)
    hosts.push_back({"c-" + std::to_string(i), "2:1", "c", 0.1});
  SetHosts(hosts);
  const std::size_t coordinators = planner_.Coordinators("rc").size();
  EXPECT_LE(coordinators * selector_.ConnectionShare(service), 19U);
  EXPECT_GE(selector_.ConnectionShare(service), 1U);
}

// Guards against moving shards to other slices after the loss of a few leaves
// of other shards, because the hosts of these slices would need new
// connections.
TEST_F(ShardPlannerTest, LostLeavesDoNotMoveOtherShards) {
  MakeManyShardsOnSmallHost();
  const auto before = Divide();
  for (const std::string& shard : route_.shards) PutLeaf(shard, "a");
  directory_.Remove("s0-c");
  directory_.Remove("s7-c");
  const auto after = Divide();
  ASSERT_EQ(after.size(), before.size());
  for (std::size_t i = 0; i < after.size(); ++i) {
    EXPECT_EQ(after[i].host, before[i].host);
    EXPECT_EQ(after[i].shards, before[i].shards);
  }
}

// Guards against leaves that are called by many hosts, none of which knows how
// busy the leaves are.
TEST_F(ShardPlannerTest, ShardStaysInItsSliceWhicheverShardsRemain) {
  MakeManyShardsOnSmallHost();
  for (const std::string& shard : route_.shards) PutLeaf(shard, "a");
  std::map<std::size_t, std::string> host_of;
  for (const ShardGroup& group : Divide())
    for (const std::size_t shard : group.shards)
      host_of[shard] = group.host->entry().id;
  // Two thirds of the shards lose their leaf in this region.
  for (std::size_t i = 0; i < route_.shards.size(); ++i)
    if (i % 3 != 0) directory_.Remove("s" + std::to_string(i) + "-c");
  for (const ShardGroup& group : Divide()) {
    if (group.host->region() != "rc") continue;
    for (const std::size_t shard : group.shards)
      EXPECT_EQ(group.host->entry().id, host_of.at(shard)) << shard;
  }
}

// Guards against requests that wait for a connection to a host that may still
// be without power.
TEST_F(ShardPlannerTest, HostWithoutConnectionIsSkipped) {
  std::set<std::string> connected = {"a-2"};
  planner_.SetReachable([&connected](const LeafRecord& host) {
    return connected.contains(host.entry().id);
  });
  for (std::uint64_t seed = 0; seed < 10; ++seed)
    EXPECT_EQ(Divide(seed).at(0).host->entry().id, "a-2");
  connected.clear();
  EXPECT_EQ(Divide().size(), 1U) << "no host has a connection yet";
}

// Guards against a first group for each host that waits for a new connection
// longer than the request may take.
TEST_F(ShardPlannerTest, PlansNameTheirHostsBeforeTheFirstRequest) {
  const RouteTable table(
      Configuration{.version = 1, .routes = {route_}, .services = services_});
  planner_.PlanAhead(table);
  std::set<std::string> linked;
  planner_.ForEachLinkedHost(
      [&](const LeafRecord& host) { linked.insert(host.entry().id); });
  EXPECT_EQ(linked, (std::set<std::string>{"a-1", "a-2"}));
}

// Guards against a plan for a new set of shards that displaces the one in use,
// or that is used after the route has changed to other shards.
TEST_F(ShardPlannerTest, PendingSetIsPlannedBesideTheSetInUse) {
  MakeManyShardsOnSmallHost();
  const auto linked = [this] {
    std::set<std::string> names;
    planner_.ForEachLinkedHost(
        [&names](const LeafRecord& host) { names.insert(host.entry().id); });
    return names;
  };
  Route pending = route_;
  pending.shards.clear();
  for (int i = 0; i < 100; ++i) {
    const std::string shard = "n" + std::to_string(i);
    pending.shards.push_back(shard);
    services_.push_back({.name = shard, .max_connections = 25});
    if (i < 60) PutLeaf(shard, "c");
  }
  const RouteTable newest(
      Configuration{.version = 1, .routes = {pending}, .services = services_});
  const auto own =
      planner_.PlanPending(newest, newest.configuration().routes[0]);
  EXPECT_EQ(own.size(), 40U);
  EXPECT_EQ(own.front(), 60U);
  EXPECT_EQ(linked().size(), 2U);
  std::size_t delegated = 0;
  for (const ShardGroup& group : Divide()) delegated += group.shards.size();
  EXPECT_EQ(delegated, 100U);
  route_ = pending;
  delegated = 0;
  for (const ShardGroup& group : Divide()) delegated += group.shards.size();
  EXPECT_EQ(delegated, 60U);
}

// Guards against keeping connections to hosts that are no longer registered.
TEST_F(ShardPlannerTest, HostThatLeftIsNotLinked) {
  Divide();
  SetHosts({{"a-2", "1:2", "a", 0.25}, {"c-1", "1:4", "c", 0.25}});
  planner_.ForEachLinkedHost(
      [&](const LeafRecord& host) { EXPECT_EQ(host.entry().id, "a-2"); });
}

// Guards against groups in regions that the route does not allow.
TEST_F(ShardPlannerTest, RestrictedRouteIsNotDivided) {
  route_.regions = {"ra"};
  EXPECT_TRUE(Divide().empty());
}

// Guards against sending one request after another to a frozen host.
TEST_F(ShardPlannerTest, SilentHostIsSkipped) {
  const auto first = Divide()[0].host;
  first->OnCallSent(clock_.Now());
  clock_.Advance(milliseconds(200));
  const auto second = Divide()[0].host;
  EXPECT_NE(second, first);
  second->OnCallSent(clock_.Now());
  clock_.Advance(milliseconds(200));
  EXPECT_TRUE(Divide().empty()) << "this host runs the request itself";
}

}  // namespace
}  // namespace berylreach::forward
