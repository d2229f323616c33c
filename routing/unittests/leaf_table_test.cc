// Guards against stale states that make a leaf usable again, and against
// evidence that is ignored or never expires.
#include "berylreach/routing/leaf_table.h"

#include <gtest/gtest.h>

#include "berylreach/base/manual_clock.h"
#include "berylreach/routing/leaf_state_digest.h"
#include "berylreach/routing/replica_index_cache.h"
#include "test_environment.h"

namespace berylreach::routing {
namespace {

using std::chrono::milliseconds;

class LeafTableTest : public testing::Test {
 protected:
  model::LeafReply Reply(model::LeafOutcome outcome) {
    model::LeafReply reply;
    reply.leaf = {"l0"};
    reply.outcome = outcome;
    return reply;
  }

  base::ManualClock clock_;
  LeafTable table_{clock_};
};

// Guards against states that arrive out of order: an older one must not make a
// draining leaf usable again.
TEST_F(LeafTableTest, OlderStateDoesNotReplaceNewer) {
  auto newer = MakeState("l0", {{7, 0, 1}}, 5);
  newer.health = model::LeafHealth::kDraining;
  EXPECT_TRUE(table_.Merge(newer));
  EXPECT_FALSE(table_.Merge(MakeState("l0", {{6, 0, 1}}, 4)));
  EXPECT_FALSE(table_.Merge(newer));
  EXPECT_FALSE(table_.AcceptsWork({"l0"}));
  auto next_epoch = MakeState("l0", {{7, 0, 1}}, 1);
  next_epoch.epoch = 2;
  EXPECT_TRUE(table_.Merge(next_epoch));
  EXPECT_TRUE(table_.AcceptsWork({"l0"}));
}

// Guards against new work for a leaving leaf, and against a late host list that
// makes the leaf usable again.
TEST_F(LeafTableTest, LeavingEntryStopsWorkAndOlderListIsIgnored) {
  table_.Merge(MakeState("l0", {{7, 0, 1}}));
  EXPECT_TRUE(table_.ApplyHostList({9, {{"l0", true}}}));
  EXPECT_FALSE(table_.AcceptsWork({"l0"}));
  EXPECT_FALSE(table_.ApplyHostList({8, {}}));
  EXPECT_FALSE(table_.AcceptsWork({"l0"}));
  EXPECT_TRUE(table_.ApplyHostList({10, {}}));
  EXPECT_TRUE(table_.AcceptsWork({"l0"}));
}

// Guards against further calls to a leaf that has just refused one, and against
// a leaf that is never used again because of an outdated reply.
TEST_F(LeafTableTest, DrainingReplyTakesEffectAtOnceAndExpires) {
  table_.Merge(MakeState("l0", {{7, 0, 1}}));
  table_.OnReply(Reply(model::LeafOutcome::kDraining), 7, {});
  EXPECT_FALSE(table_.AcceptsWork({"l0"}));
  clock_.Advance(LeafTable::kEvidenceLifetime);
  EXPECT_TRUE(table_.AcceptsWork({"l0"}));
}

// Guards against evidence that contradicts a newer state of the leaf.
TEST_F(LeafTableTest, NewStateReplacesEvidence) {
  table_.Merge(MakeState("l0", {{7, 0, 1}}));
  table_.OnReply(Reply(model::LeafOutcome::kVersionGone), 7, {});
  EXPECT_TRUE(table_.VersionGone({"l0"}, 7));
  EXPECT_FALSE(table_.VersionGone({"l0"}, 8));
  table_.Merge(MakeState("l0", {{7, 0, 1}}, 2));
  EXPECT_FALSE(table_.VersionGone({"l0"}, 7));
}

// Guards against choices by a load report that is out of date, and against
// calls of this host that are counted after their end.
TEST_F(LeafTableTest, PendingWorkIgnoresOldReports) {
  auto reply = Reply(model::LeafOutcome::kOk);
  reply.load = 9;
  table_.OnCallSent({"l0"});
  table_.OnReply(reply, 7, milliseconds(8));
  EXPECT_EQ(table_.PendingWork({"l0"}), 9U);
  EXPECT_EQ(table_.Observation({"l0"}).recent_latency, milliseconds(8));
  clock_.Advance(LeafTable::kLoadReportLifetime);
  EXPECT_EQ(table_.PendingWork({"l0"}), 1U);
  table_.OnCallEnded({"l0"});
  EXPECT_EQ(table_.PendingWork({"l0"}), 0U);
}

// Guards against a table that grows with every removed leaf, and against a
// crash when a call to a removed leaf ends.
TEST_F(LeafTableTest, RetainDropsLeavesOutsideTheDocument) {
  table_.Merge(MakeState("l0", {}));
  table_.Merge(MakeState("gone", {}));
  table_.Retain(MakeEnvironment({"z0"}));
  EXPECT_EQ(table_.States().size(), 1U);
  table_.OnCallEnded({"gone"});
}

// Guards against an incrementally updated digest that differs from the digest
// of the known states: the host would request all states after every heartbeat.
TEST_F(LeafTableTest, DigestFollowsTheStatesOfEachOwner) {
  auto first = MakeState("l0", {{7, 0, 1}}, 1);
  auto second = MakeState("l1", {{7, 0, 1}}, 2);
  first.owner = second.owner = {"a1"};
  table_.Merge(first);
  table_.Merge(second);
  EXPECT_EQ(table_.StatesDigest({"a1"}), DigestOf(first) + DigestOf(second));

  auto moved = MakeState("l1", {{7, 0, 1}}, 3);
  moved.owner = {"b1"};
  table_.Merge(moved);
  EXPECT_FALSE(table_.Merge(second));
  EXPECT_EQ(table_.StatesDigest({"a1"}), DigestOf(first));
  EXPECT_EQ(table_.StatesDigest({"b1"}), DigestOf(moved));

  table_.Retain({});
  EXPECT_EQ(table_.StatesDigest({"a1"}), 0U);
  EXPECT_EQ(table_.StatesDigest({"b1"}), 0U);
}

// Guards against a cached index that is not rebuilt when evidence expires, so
// that a leaf remains unused until the next change of any leaf.
TEST_F(LeafTableTest, CachedIndexFollowsChangesAndExpiredEvidence) {
  const auto environment = MakeEnvironment({"z0"});
  ReplicaIndexCache cache(clock_);
  const auto usable = [&] {
    return cache.Get(environment, 1, {"desk"}, table_).Replicas(7, 1, 0).size();
  };
  EXPECT_EQ(usable(), 0U);
  table_.Merge(MakeState("l0", {{7, 0, 1}, {7, 0, 1}}));
  EXPECT_EQ(usable(), 1U);
  table_.OnReply(Reply(model::LeafOutcome::kVersionGone), 7, {});
  EXPECT_EQ(usable(), 0U);
  clock_.Advance(LeafTable::kEvidenceLifetime);
  EXPECT_EQ(usable(), 1U);
}

// Guards against calls to leaves of a zone that is out of service, and against
// holdings of a faulty leaf that are out of range or make a host allocate
// without bound.
TEST_F(LeafTableTest, IndexExcludesZonesOutOfServiceAndInvalidHoldings) {
  auto environment = MakeEnvironment({"z0", "z1"});
  table_.Merge(MakeState("l0", {{7, 0, 1}, {8, 3, 2}, {9, 0, 4000000000U}}));
  auto cold = MakeState("l1", {{7, 0, 1}});
  cold.health = model::LeafHealth::kCold;
  table_.Merge(cold);
  const ReplicaIndex before(environment, {"desk"}, table_);
  ASSERT_EQ(before.Replicas(7, 1, 0).size(), 2U);
  EXPECT_EQ(before.Replicas(7, 1, 0)[1].slots, 1U);
  EXPECT_EQ(before.snapshots().size(), 1U);
  environment.zones[0].state = model::ZoneState::kOutOfService;
  const ReplicaIndex after(environment, {"desk"}, table_);
  ASSERT_EQ(after.Replicas(7, 1, 0).size(), 1U);
  EXPECT_EQ(after.Replicas(7, 1, 0)[0].leaf.value, "l1");
}

}  // namespace
}  // namespace berylreach::routing
