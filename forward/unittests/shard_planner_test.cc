// Which host fans a request out.
#include "berylreach/forward/relay_planner.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/cold_call_limit.h"
#include "berylreach/forward/leaf_selector.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

class RelayPlannerTest : public testing::Test {
 protected:
  explicit RelayPlannerTest(std::string zone = "c")
      : location_{.zone = zone,
                  .region = "r" + zone,
                  .region_of_zone = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}},
        directory_(clock_, location_),
        cold_(clock_, {}),
        selector_(clock_, directory_, cold_),
        planner_(clock_, "c-1", location_, directory_, selector_) {
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
    selector_.SetHosts(hosts.size(), planner_.CountCoordinators());
  }

  std::shared_ptr<LeafRecord> Choose(std::uint64_t seed = 1) {
    const RouteTable table(
        Configuration{.version = 1, .routes = {route_}, .services = services_});
    return planner_.Choose(table, table.configuration().routes[0], seed);
  }

  base::ManualClock clock_;
  Location location_;
  LeafDirectory directory_;
  ColdCallLimit cold_;
  LeafSelector selector_;
  RelayPlanner planner_;
  Route route_;
  std::vector<Service> services_;
};

TEST_F(RelayPlannerTest, RegionWithoutLeavesRelaysToOneThatHasThem) {
  const auto host = Choose();
  ASSERT_NE(host, nullptr);
  EXPECT_EQ(host->region(), "ra");
}

TEST_F(RelayPlannerTest, SmallFleetWithLeavesNearbyRunsRequestsItself) {
  for (const std::string& shard : route_.shards) PutLeaf(shard, "c");
  EXPECT_EQ(Choose(), nullptr);
}

// Guards against hosts that share too few connections to reuse them.
TEST_F(RelayPlannerTest, LargeFleetRelaysWithinTheRegion) {
  for (const std::string& shard : route_.shards) PutLeaf(shard, "c");
  std::vector<HostEntry> hosts = {{"c-big-1", "1:1", "c", 0.5},
                                  {"c-big-2", "1:2", "c", 0.5}};
  for (int i = 1; i <= 20; ++i)
    hosts.push_back({"c-" + std::to_string(i), "2:1", "c", 0.1});
  SetHosts(hosts);
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const auto host = Choose(seed);
    ASSERT_NE(host, nullptr);
    EXPECT_TRUE(host->entry().id.starts_with("c-big")) << host->entry().id;
  }
}

// Guards against requests of hundreds of parts that small hosts run too slowly
// while large ones are idle.
TEST_F(RelayPlannerTest, SmallHostRelaysRequestsOfManyParts) {
  route_.objective = milliseconds(150);
  for (int i = 4; i < 100; ++i) {
    const std::string shard = "s" + std::to_string(i);
    route_.shards.push_back(shard);
    services_.push_back({.name = shard, .max_connections = 25});
  }
  for (const std::string& shard : route_.shards) PutLeaf(shard, "c");
  SetHosts({{"c-big-1", "1:1", "c", 0.5},
            {"c-big-2", "1:2", "c", 0.5},
            {"c-1", "1:3", "c", 0.1},
            {"c-2", "1:4", "c", 0.1}});
  const auto host = Choose();
  ASSERT_NE(host, nullptr);
  EXPECT_TRUE(host->entry().id.starts_with("c-big")) << host->entry().id;
}

TEST_F(RelayPlannerTest, CoordinatorsAreTheLargestHosts) {
  SetHosts({{"c-1", "1:1", "c", 0.1},
            {"c-2", "1:2", "c", 0.5},
            {"c-3", "1:3", "c", 0.5},
            {"c-4", "1:4", "c", 0.1}});
  EXPECT_EQ(planner_.Coordinators("rc").size(), 2U);
  for (const std::string& name : planner_.Coordinators("rc"))
    EXPECT_TRUE(name == "c-2" || name == "c-3") << name;
}

// Guards against leaves that reset the connections of restarted hosts, because
// those of their former processes still count.
TEST_F(RelayPlannerTest, HostsTogetherKeepSomeConnectionsFree) {
  const Service service{.name = "s", .max_connections = 25};
  EXPECT_EQ(selector_.ConnectionShare(service), 4U) << "4 hosts";
  std::vector<HostEntry> hosts;
  for (int i = 0; i < 30; ++i)
    hosts.push_back({"c-" + std::to_string(i), "2:1", "c", 0.1});
  SetHosts(hosts);
  const std::size_t coordinators = planner_.CountCoordinators();
  EXPECT_LE(coordinators * selector_.ConnectionShare(service), 19U);
  EXPECT_GE(selector_.ConnectionShare(service), 1U);
}

TEST_F(RelayPlannerTest, RestrictedRouteStaysWhereItIs) {
  route_.regions = {"ra"};
  EXPECT_EQ(Choose(), nullptr);
}

// Guards against requests that follow each other to a frozen host.
TEST_F(RelayPlannerTest, SilentHostIsPassedOver) {
  const auto first = Choose();
  ASSERT_NE(first, nullptr);
  first->OnCallSent(clock_.Now());
  clock_.Advance(milliseconds(200));
  const auto second = Choose();
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second->entry().id, first->entry().id);
  second->OnCallSent(clock_.Now());
  clock_.Advance(milliseconds(200));
  EXPECT_EQ(Choose(), nullptr) << "runs the request itself";
}

}  // namespace
}  // namespace berylreach::forward
