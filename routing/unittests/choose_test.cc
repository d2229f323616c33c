// Guards against queries that run at an index version without a leaf for every
// shard, and against calls to overloaded or distant leaves.
#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"
#include "berylreach/routing/choose_replica.h"
#include "berylreach/routing/choose_snapshot.h"
#include "test_environment.h"

namespace berylreach::routing {
namespace {

class ChooseTest : public testing::Test {
 protected:
  /// Makes leaf l<leaf> hold `holdings`, each given as {version, shard, shard
  /// count}.
  void Hold(int leaf, std::vector<model::Holding> holdings) {
    table_.Merge(MakeState("l" + std::to_string(leaf), std::move(holdings)));
  }

  ReplicaIndex Index() const {
    return ReplicaIndex(environment_, {"desk"}, table_);
  }

  /// Returns the leaf that a host in zone z0 chooses for shard 0 of 1 at
  /// version 7; empty if there is none.
  std::string Choose(std::vector<model::LeafName> tried = {},
                     bool suspect = false) const {
    ReplicaQuery query;
    query.version = 7;
    query.shard_count = 1;
    query.own_zone = {"z0"};
    query.own_region = "r0";
    query.tried = tried;
    query.suspect = suspect;
    const auto replica = ChooseReplica(Index(), table_, query);
    return replica ? replica->leaf.value : "";
  }

  /// Adds `calls` calls in flight to leaf l<leaf>.
  void Load(int leaf, int calls) {
    for (int i = 0; i < calls; ++i) {
      table_.OnCallSent({"l" + std::to_string(leaf)});
    }
  }

  base::ManualClock clock_;
  LeafTable table_{clock_};
  /// Leaves l0 to l3, with 2 slots each, by zone. Zone z2 is in another region
  /// than z0 and z1.
  model::Environment environment_ = MakeEnvironment({"z0", "z1", "z2", "z0"});
};

// Guards against partial answers at a new version that no leaf holds for some
// shard yet, while the previous version is complete.
TEST_F(ChooseTest, IncompleteNewestVersionIsNotChosen) {
  Hold(0, {{6, 0, 2}, {7, 0, 2}});
  Hold(1, {{6, 1, 2}});
  EXPECT_EQ(ChooseSnapshot(Index(), {})->version, 6U);
}

// Guards against queries at a new version with a single replica of some shard
// while the previous version has several, and against queries that stay at the
// previous version once the new one has several too.
TEST_F(ChooseTest, PreviousVersionIsPreferredOnlyForItsReplicas) {
  Hold(0, {{6, 0, 1}, {7, 0, 1}});
  Hold(1, {{6, 0, 1}});
  EXPECT_EQ(ChooseSnapshot(Index(), {})->version, 6U);
  Hold(2, {{7, 0, 1}});
  EXPECT_EQ(ChooseSnapshot(Index(), {})->version, 7U);
  EXPECT_EQ(ChooseSnapshot(Index(), {7})->version, 6U);
}

// Guards against queries that are refused, or answered with fewer shards than
// possible, because no version is complete.
TEST_F(ChooseTest, WithoutCompleteVersionTheLargestFractionIsChosen) {
  Hold(0, {{6, 0, 3}, {7, 0, 3}});
  Hold(1, {{6, 1, 3}});
  EXPECT_EQ(ChooseSnapshot(Index(), {})->version, 6U);
  EXPECT_FALSE(ChooseSnapshot(Index(), {6, 7}));
  EXPECT_FALSE(ChooseSnapshot(ReplicaIndex(), {}));
}

// Guards against a version that counts as complete because a leaf with another
// partition map holds the missing shard. A repartition creates a new version,
// so a version should have one partition map only.
TEST_F(ChooseTest, PartitionMapsOfOneVersionAreNotMerged) {
  Hold(0, {{7, 0, 2}});
  Hold(1, {{7, 1, 3}});
  EXPECT_FALSE(ChooseSnapshot(Index(), {})->Complete());
}

// Guards against calls that cross zones or regions without need, and against
// calls that wait in the own zone longer than a distant leaf would take.
TEST_F(ChooseTest, OwnZoneFirstUntilItsWaitExceedsTheRoundTrip) {
  Hold(0, {{7, 0, 1}});
  Hold(2, {{7, 0, 1}});
  Load(0, 8);
  // A new call must wait for 7 of the 8 calls. On 2 slots, with the 10 ms
  // assumed for a leaf without samples, this takes 35 ms, less than the round
  // trip of 40 ms.
  EXPECT_EQ(Choose(), "l0");
  Load(0, 2);
  EXPECT_EQ(Choose(), "l2");
}

// Guards against calls to a loaded leaf while another leaf of the zone is idle.
TEST_F(ChooseTest, LeafWithLessWorkPerSlotIsChosenWithinAZone) {
  Hold(0, {{7, 0, 1}});
  Hold(3, {{7, 0, 1}});
  Load(0, 1);
  EXPECT_EQ(Choose(), "l3");
  Load(3, 2);
  EXPECT_EQ(Choose(), "l0");
}

// Guards against retries and hedges that return to the leaf of the first call.
TEST_F(ChooseTest, TriedLeavesAreNotChosenAgain) {
  Hold(0, {{7, 0, 1}});
  EXPECT_EQ(Choose({{"l0"}}), "");
}

// Guards against suspect requests that wait for a busy leaf of the own zone to
// become idle while a leaf of another zone is idle.
TEST_F(ChooseTest, SuspectGoesToTheLeastLoadedLeafOfAnyZone) {
  Hold(0, {{7, 0, 1}});
  Hold(2, {{7, 0, 1}});
  Load(0, 1);
  EXPECT_EQ(Choose(), "l0");
  EXPECT_EQ(Choose({}, true), "l2");
}

}  // namespace
}  // namespace berylreach::routing
