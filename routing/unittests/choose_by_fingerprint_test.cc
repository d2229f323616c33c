// Guards against hosts that send copies of one unproven request to different
// leaves, and against canaries that are sent to another region.
#include "berylreach/routing/choose_by_fingerprint.h"

#include <gtest/gtest.h>

#include <map>

#include "berylreach/base/manual_clock.h"
#include "test_environment.h"

namespace berylreach::routing {
namespace {

class ChooseByFingerprintTest : public testing::Test {
 protected:
  // Leaves l0 to l3 hold shard 0, l4 to l7 shard 1; odd ones are in region r1.
  ChooseByFingerprintTest() {
    for (int i = 0; i < 8; ++i) Hold(i);
  }

  void Hold(int leaf) {
    table_.Merge(
        MakeState("l" + std::to_string(leaf), {{7, leaf < 4 ? 0U : 1U, 2}}));
  }

  std::string Choose(std::uint64_t fingerprint) {
    query_.version = 7;
    query_.shard_count = 2;
    query_.fingerprint = fingerprint;
    query_.shards = shards_;
    const ReplicaIndex index(environment_, {"desk"}, table_);
    const auto placement = ChooseByFingerprint(index, query_);
    return placement ? placement->replica.leaf.value : "";
  }

  base::ManualClock clock_;
  LeafTable table_{clock_};
  model::Environment environment_ =
      MakeEnvironment({"z0", "z2", "z1", "z2", "z0", "z2", "z1", "z2"});
  std::vector<std::uint32_t> shards_ = {0, 1};
  FingerprintQuery query_;
};

// Guards against hosts that choose different leaves because they know different
// loads.
TEST_F(ChooseByFingerprintTest, LoadDoesNotAffectTheChoice) {
  const std::string first = Choose(1);
  for (int i = 0; i < 50; ++i) table_.OnCallSent({first});
  EXPECT_EQ(Choose(1), first);
}

// Guards against a leaf that gets most canaries because the rendezvous weights
// are uneven.
TEST_F(ChooseByFingerprintTest, FingerprintsSpreadOverTheLeavesOfTheRegion) {
  query_.region = "r0";
  std::map<std::string, int> chosen;
  for (std::uint64_t i = 0; i < 4000; ++i) ++chosen[Choose(i)];
  ASSERT_EQ(chosen.size(), 4U);
  for (const auto& [leaf, count] : chosen) {
    EXPECT_GT(count, 850) << leaf;
    EXPECT_LT(count, 1150) << leaf;
  }
}

// Guards against an empty region that matches no leaf.
TEST_F(ChooseByFingerprintTest, WithoutARegionAllLeavesAreCandidates) {
  std::map<std::string, int> chosen;
  for (std::uint64_t i = 0; i < 1000; ++i) ++chosen[Choose(i)];
  EXPECT_EQ(chosen.size(), 8U);
}

// Guards against canaries that are sent to another region although the own
// region has a leaf for them, and against canaries that fail because it has
// none.
TEST_F(ChooseByFingerprintTest, OtherRegionOnlyIfTheOwnHasNoCandidate) {
  query_.region = "r0";
  query_.is_excluded = [](std::uint32_t, const model::LeafName& leaf) {
    return leaf.value != "l1" && leaf.value != "l2";
  };
  EXPECT_EQ(Choose(1), "l2");
  query_.is_excluded = [](std::uint32_t, const model::LeafName& leaf) {
    return leaf.value != "l1";
  };
  EXPECT_EQ(Choose(1), "l1");
  query_.is_excluded = [](std::uint32_t, const model::LeafName&) {
    return true;
  };
  EXPECT_EQ(Choose(1), "");
}

// Guards against canaries that are sent to a leaf of last resort although there
// are others, and against canaries that fail because all are last resorts.
TEST_F(ChooseByFingerprintTest, LeavesOfLastResortAreChosenLast) {
  const std::string first = Choose(1);
  query_.is_last_resort = [&](const model::LeafName& leaf) {
    return leaf.value == first;
  };
  EXPECT_NE(Choose(1), first);
  query_.is_last_resort = [](const model::LeafName&) { return true; };
  EXPECT_EQ(Choose(1), first);
}

// Guards against a choice that changes for most fingerprints when one leaf is
// lost: hosts that learn of the loss at different times would choose different
// leaves.
TEST_F(ChooseByFingerprintTest, LossOfALeafMovesOnlyItsFingerprints) {
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t i = 0; i < 200; ++i) before[i] = Choose(i);
  query_.is_excluded = [](std::uint32_t, const model::LeafName& leaf) {
    return leaf.value == "l3";
  };
  for (const auto& [fingerprint, leaf] : before) {
    if (leaf == "l3") continue;
    EXPECT_EQ(Choose(fingerprint), leaf);
  }
}

}  // namespace
}  // namespace berylreach::routing
