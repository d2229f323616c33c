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

/// A store that has come back from a copy which is older than what is known of
/// its leaves: l1 has written twice, is draining and started at 200, l2 is
/// gone.
class RestoredLeavesTest : public LeafDirectoryTest {
 protected:
  RestoredLeavesTest() {
    directory_.Put(Written("l1", 200, 1, false));
    directory_.Put(Written("l1", 200, 2, true));
    directory_.Put(Written("l2", 200, 5, false));
    directory_.Remove("l2");
    directory_.OnStoreRestored();
  }

  static LeafEntry Written(const std::string& id, std::uint64_t started,
                           std::uint64_t sequence, bool draining) {
    LeafEntry entry = Entry(id, "a");
    entry.started_unix_ms = started;
    entry.sequence = sequence;
    entry.draining = draining;
    return entry;
  }

  std::size_t UsableCount() const { return directory_.Usable("s").size(); }
};

// Guards against calls to leaves that leave or have left, since the copy lists
// them as ready.
TEST_F(RestoredLeavesTest, OlderEntriesAreWithheld) {
  directory_.Replace(
      {Written("l1", 200, 1, false), Written("l2", 200, 5, false)});
  EXPECT_EQ(UsableCount(), 0U);
  directory_.Put(Written("l1", 100, 9, false));
  EXPECT_EQ(UsableCount(), 0U) << "an earlier start";
}

// Guards against leaves that stay unused although they have written again.
TEST_F(RestoredLeavesTest, NewerEntriesCountAtOnce) {
  directory_.Put(Written("l1", 200, 3, false));
  directory_.Put(Written("l2", 200, 6, false));
  directory_.Put(Written("l3", 200, 1, false));
  EXPECT_EQ(UsableCount(), 3U);
  directory_.Put(Written("l1", 300, 1, true));
  EXPECT_EQ(UsableCount(), 2U) << "a later start";
}

// Guards against leaves that stay unused for good, since the store does not
// hold what was known of them.
TEST_F(RestoredLeavesTest, WithheldEntriesCountInTheEnd) {
  directory_.Replace({Written("l1", 200, 1, false),
                      Written("l2", 200, 5, false),
                      Written("l3", 200, 1, false)});
  directory_.Remove("l2");
  clock_.Advance(LeafDirectory::kStoreRestoreGrace);
  directory_.Tick();
  EXPECT_EQ(UsableCount(), 2U);
  EXPECT_EQ(directory_.Find("l2"), nullptr);
}

// Guards against the loss of leaves that started after the copy was taken and
// have not written again yet.
TEST_F(RestoredLeavesTest, LeavesMissingInTheCopyAreKeptForAWhile) {
  directory_.Put(Written("l3", 200, 1, false));
  directory_.Replace({Written("l1", 200, 2, true)});
  EXPECT_EQ(UsableCount(), 1U);
  clock_.Advance(LeafDirectory::kStoreReturnGrace);
  directory_.Tick();
  EXPECT_EQ(UsableCount(), 0U);
}

}  // namespace
}  // namespace berylreach::forward
