// Configurations that replace each other while requests are under way.
#include "berylreach/forward/table_history.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

class TableHistoryTest : public testing::Test {
 protected:
  TableHistoryTest() { clock_.Advance(std::chrono::hours(1)); }

  bool Has(std::uint64_t version) const {
    return history_.Find([version](const RouteTable& table) {
      return table.configuration().version == version;
    }) != nullptr;
  }

  base::ManualClock clock_;
  RouteTableHistory history_{clock_};
};

// Guards against groups of shards that are declined by each host that already
// has the next configuration.
TEST_F(TableHistoryTest, FormerConfigurationServesGroupsForSeconds) {
  history_.Adopt({.version = 2});
  history_.Adopt({.version = 7});
  EXPECT_EQ(history_.present()->configuration().version, 7U);
  EXPECT_TRUE(Has(2));
  clock_.Advance(std::chrono::seconds(6));
  EXPECT_FALSE(Has(2));
  EXPECT_TRUE(Has(7));
}

// Guards against a configuration that returns after a newer one.
TEST_F(TableHistoryTest, OlderConfigurationIsNotAdopted) {
  EXPECT_TRUE(history_.Adopt({.version = 7}));
  EXPECT_FALSE(history_.Adopt({.version = 7}));
  EXPECT_FALSE(history_.Adopt({.version = 3}));
  EXPECT_EQ(history_.present()->configuration().version, 7U);
}

TEST_F(TableHistoryTest, FewTablesAreKept) {
  for (std::uint64_t version = 1; version <= 20; ++version)
    history_.Adopt({.version = version});
  EXPECT_TRUE(Has(16));
  EXPECT_FALSE(Has(10));
}

}  // namespace
}  // namespace berylreach::forward
