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

TEST_F(RouteTableHistoryTest, FewTablesAreKept) {
  for (std::uint64_t version = 1; version <= 20; ++version)
    history_.Adopt({.version = version});
  EXPECT_TRUE(Has(16));
  EXPECT_FALSE(Has(10));
}

}  // namespace
}  // namespace berylreach::forward
