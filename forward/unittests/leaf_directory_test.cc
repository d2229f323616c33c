// Tests the listing and removal of the leaves that service discovery reports.
#include "berylreach/forward/leaf_directory.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

class LeafDirectoryTest : public testing::Test {
 protected:
  LeafDirectoryTest()
      : directory_(clock_, {.zone = "a",
                            .region = "r",
                            .region_of_zone = {{"a", "r"}, {"b", "r"}}}) {}

  static LeafEntry Entry(const std::string& id, const std::string& zone) {
    return {.id = id, .service = "s", .address = "1.1.1.1:1", .zone = zone};
  }

  base::ManualClock clock_;
  LeafDirectory directory_;
};

// Guards against new calls to leaves that are draining or in an evacuated zone.
TEST_F(LeafDirectoryTest, LeavesOutDrainingAndEvacuatedLeaves) {
  directory_.Put(Entry("l1", "a"));
  directory_.Put(Entry("l2", "b"));
  LeafEntry draining = Entry("l3", "a");
  draining.draining = true;
  directory_.Put(draining);
  EXPECT_EQ(directory_.Usable("s").size(), 2U);
  directory_.SetEvacuatedZones({"a"});
  ASSERT_EQ(directory_.Usable("s").size(), 1U);
  EXPECT_EQ(directory_.Usable("s")[0]->entry().id, "l2");
}

// Guards against attributing the observations of one process to another
// process.
TEST_F(LeafDirectoryTest, EntryOfAnotherAddressIsAnotherLeaf) {
  directory_.Put(Entry("l1", "a"));
  const auto before = directory_.Find("l1");
  LeafEntry moved = Entry("l1", "a");
  moved.address = "1.1.1.2:1";
  directory_.Put(moved);
  EXPECT_TRUE(before->removed());
  EXPECT_NE(directory_.Find("l1"), before);
}

// Guards against calls to a leaf whose entry was removed while the store was
// reachable, and so did not expire because of an outage.
TEST_F(LeafDirectoryTest, RemovesAtOnceWhileTheStoreIsReachable) {
  directory_.Put(Entry("l1", "a"));
  directory_.Remove("l1");
  EXPECT_TRUE(directory_.Usable("s").empty());
}

// Guards against the removal of all leaves whose entries expired while the
// store was unreachable.
TEST_F(LeafDirectoryTest, KeepsExpiredLeavesUntilTheGraceEnds) {
  directory_.Put(Entry("l1", "a"));
  directory_.Put(Entry("l2", "a"));
  directory_.OnStoreLost();
  clock_.Advance(std::chrono::seconds(30));
  directory_.OnStoreRegained();
  directory_.Replace({});
  EXPECT_EQ(directory_.Usable("s").size(), 2U);
  directory_.Put(Entry("l1", "a"));
  clock_.Advance(LeafDirectory::kStoreReturnGrace);
  directory_.Tick();
  ASSERT_EQ(directory_.Usable("s").size(), 1U);
  EXPECT_EQ(directory_.Usable("s")[0]->entry().id, "l1");
}

// Guards against calls to a leaf whose removal this host has missed.
TEST_F(LeafDirectoryTest, ReplaceRemovesWhatIsNotListed) {
  directory_.Put(Entry("l1", "a"));
  directory_.Put(Entry("l2", "a"));
  directory_.Replace({Entry("l2", "a")});
  EXPECT_EQ(directory_.Find("l1"), nullptr);
  EXPECT_NE(directory_.Find("l2"), nullptr);
}

}  // namespace
}  // namespace berylreach::forward
