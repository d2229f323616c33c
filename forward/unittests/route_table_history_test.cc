// Tests the replacement of configurations while requests are running.
#include "berylreach/forward/route_table_history.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

class RouteTableHistoryTest : public testing::Test {
 protected:
  RouteTableHistoryTest() { clock_.Advance(std::chrono::hours(1)); }

  bool Has(std::uint64_t version) const {
    return history_.Find([version](const RouteTable& table) {
      return table.configuration().version == version;
    }) != nullptr;
  }

  base::ManualClock clock_;
  RouteTableHistory history_{clock_};
};

// Guards against hosts with a new configuration that decline the groups of
// shards of hosts that do not have it yet.
TEST_F(RouteTableHistoryTest, FormerConfigurationServesGroupsForSeconds) {
  history_.Adopt({.version = 2});
  history_.Adopt({.version = 7});
  EXPECT_EQ(history_.current()->configuration().version, 7U);
  EXPECT_TRUE(Has(2));
  clock_.Advance(std::chrono::seconds(6));
  EXPECT_FALSE(Has(2));
  EXPECT_TRUE(Has(7));
}

// Guards against an older configuration that arrives after a newer one.
TEST_F(RouteTableHistoryTest, OlderConfigurationIsNotAdopted) {
  EXPECT_TRUE(history_.Adopt({.version = 7}));
  EXPECT_FALSE(history_.Adopt({.version = 7}));
  EXPECT_FALSE(history_.Adopt({.version = 3}));
  EXPECT_EQ(history_.current()->configuration().version, 7U);
}

// Guards against hosts that decline the groups of hosts which still use the old
// shards of a route, after the route has changed under the same version.
TEST_F(RouteTableHistoryTest, VersionIsAdoptedAgainWithOtherShards) {
  Route route{.name = "r", .shards = {"a"}};
  EXPECT_TRUE(history_.Adopt({.version = 7, .routes = {route}}));
  route.shards = {"b"};
  EXPECT_TRUE(history_.Adopt({.version = 7, .routes = {route}}));
  EXPECT_FALSE(history_.Adopt({.version = 7, .routes = {route}}));
  const auto has = [this](const std::string& shard) {
    return history_.Find([&](const RouteTable& table) {
      return table.configuration().routes[0].shards[0] == shard;
    }) != nullptr;
  };
  EXPECT_EQ(history_.current()->configuration().routes[0].shards[0], "b");
  EXPECT_TRUE(has("a"));
  clock_.Advance(std::chrono::seconds(6));
  EXPECT_FALSE(has("a"));
}

TEST_F(RouteTableHistoryTest, FewTablesAreKept) {
  for (std::uint64_t version = 1; version <= 20; ++version)
    history_.Adopt({.version = version});
  EXPECT_TRUE(Has(16));
  EXPECT_FALSE(Has(10));
}

}  // namespace
}  // namespace berylreach::forward
