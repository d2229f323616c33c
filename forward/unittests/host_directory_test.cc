// Guards against hosts that count too few others, and so take too large shares
// of common limits, because the leases of all expired in an outage of the
// store.
#include "berylreach/forward/host_directory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

class HostDirectoryTest : public testing::Test {
 protected:
  HostDirectoryTest() {
    for (const char* name : {"a", "b", "c"}) directory_.Put({.name = name});
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const HostEntry& host : directory_.Hosts()) names.push_back(host.name);
    return names;
  }

  base::ManualClock clock_;
  HostDirectory directory_{clock_};
};

using testing::ElementsAre;

TEST_F(HostDirectoryTest, HostThatLeavesIsRemovedAtOnce) {
  directory_.Remove("b");
  EXPECT_THAT(Names(), ElementsAre("a", "c"));
  directory_.Replace({{.name = "c"}, {.name = "d"}});
  EXPECT_THAT(Names(), ElementsAre("c", "d"));
}

TEST_F(HostDirectoryTest, HostsThatVanishAroundAnOutageCountUntilTheGraceEnds) {
  directory_.OnStoreLost();
  directory_.OnStoreRegained();
  directory_.Remove("a");
  directory_.Replace({{.name = "c"}});
  EXPECT_THAT(Names(), ElementsAre("a", "b", "c"));
  // A host that runs registers again.
  directory_.Put({.name = "a"});
  clock_.Advance(HostDirectory::kStoreReturnGrace);
  EXPECT_TRUE(directory_.Tick());
  EXPECT_THAT(Names(), ElementsAre("a", "c"));
  EXPECT_FALSE(directory_.Tick());
}

TEST_F(HostDirectoryTest, NoHostIsRemovedWhileTheStoreIsAway) {
  directory_.OnStoreLost();
  directory_.Remove("a");
  clock_.Advance(std::chrono::minutes(1));
  EXPECT_FALSE(directory_.Tick());
  EXPECT_THAT(Names(), ElementsAre("a", "b", "c"));
}

// Guards against hosts that are forgotten until they have registered again,
// because a store that came back from a copy has lost their records without an
// outage that was noticed.
TEST_F(HostDirectoryTest, HostsMissingInACopyAreKept) {
  directory_.OnStoreRestored();
  directory_.Replace({{.name = "c"}});
  EXPECT_THAT(Names(), ElementsAre("a", "b", "c"));
  clock_.Advance(HostDirectory::kStoreReturnGrace);
  EXPECT_TRUE(directory_.Tick());
  EXPECT_THAT(Names(), ElementsAre("c"));
}

}  // namespace
}  // namespace berylreach::forward
