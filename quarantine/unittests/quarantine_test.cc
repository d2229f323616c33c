// Guards against a killing request that keeps running and against innocent
// requests that stay blocked.
#include "berylreach/quarantine/quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "berylreach/base/manual_clock.h"
#include "berylreach/quarantine/fingerprint.h"

namespace berylreach::quarantine {
namespace {

using model::SuspectState;
using std::chrono::milliseconds;

class QuarantineTest : public testing::Test {
 protected:
  base::ManualClock clock_;
  Quarantine quarantine_{clock_, 3};
  std::vector<Action> out_;
};

TEST_F(QuarantineTest, ProvenSetIsBoundedAndEvictsTheLeastRecentlyUsed) {
  for (std::uint64_t fingerprint : {1, 2, 3, 1, 4}) {
    quarantine_.OnCompleted(fingerprint);
  }
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kProven);
  EXPECT_EQ(quarantine_.TrustLevelOf(2), TrustLevel::kUnproven);
  EXPECT_EQ(quarantine_.TrustLevelOf(4), TrustLevel::kProven);
}

// A zone that loses power kills many leaves with the same popular request.
TEST_F(QuarantineTest, DeathsInCompanySuspectButNeverBlock) {
  quarantine_.OnCompleted(1);
  for (int i = 0; i < 5; ++i) quarantine_.OnLeafCrash({{1}, {2}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  EXPECT_EQ(out_.size(), 2U);
}

// Copies of a request that reach hosts of several regions at the same instant
// kill a leaf in each; without the sum a further leaf would run it alone.
TEST_F(QuarantineTest, DeathsOfTwoLeavesUnderCanariesBlock) {
  Quarantine other(clock_);
  std::vector<Action> others;
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  other.OnLeafCrash({{1, false, 12}}, others);
  EXPECT_EQ(other.TrustLevelOf(1), TrustLevel::kSuspect);
  const auto revision = other.revision();
  EXPECT_TRUE(other.Merge(std::get<PublishSuspects>(out_[0]).update));
  EXPECT_TRUE(quarantine_.Merge(std::get<PublishSuspects>(others[0]).update));
  EXPECT_EQ(other.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_GT(other.revision(), revision);
  EXPECT_EQ(quarantine_.Digest(), other.Digest());
  EXPECT_EQ(quarantine_.TryStartAlone(1, clock_.Now()), Grant::kBlocked);
  quarantine_.OnCompletedAlone(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
}

// The entry host and the owner both report the death of a canary's leaf.
TEST_F(QuarantineTest, TwoReportsOfOneLeafDoNotBlock) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(out_.size(), 2U);
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(out_.size(), 2U);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
}

// A run alone before the deaths at other hosts are heard could kill one leaf
// too many.
TEST_F(QuarantineTest, SuspectCanaryIsHeldOffUntilOtherDeathsAreHeard) {
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), base::Duration::zero());
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), Quarantine::kPropagationTime);
  clock_.Advance(Quarantine::kPropagationTime);
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), base::Duration::zero());
}

TEST_F(QuarantineTest, SuspicionHeardBeforeItsPushMergesWithIt) {
  quarantine_.OnCompleted(1);
  quarantine_.OnSuspectReportedByOwner(1);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  Quarantine owner(clock_);
  owner.OnLeafCrash({{1, false, 11}}, out_);
  quarantine_.Merge(std::get<PublishSuspects>(out_[0]).update);
  EXPECT_EQ(quarantine_.Entries(), owner.Entries());
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
}

TEST_F(QuarantineTest, DeathAloneBlocksUntilExpiry) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnLeafCrash({{1, true}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  quarantine_.OnCompletedAlone(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_EQ(quarantine_.ExpiresIn(1), Quarantine::kEntryLifetime);
  EXPECT_EQ(quarantine_.TryStartAlone(1, clock_.Now()), Grant::kBlocked);
  EXPECT_EQ(quarantine_.NextWakeup(),
            clock_.Now() + Quarantine::kEntryLifetime);
  clock_.Advance(Quarantine::kEntryLifetime);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kUnproven);
  quarantine_.Tick();
  EXPECT_TRUE(quarantine_.Entries().entries.empty());
}

TEST_F(QuarantineTest, OnlyACompletionAloneClears) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnCompleted(1);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  quarantine_.OnCompletedAlone(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kProven);
  quarantine_.OnLeafCrash({{1}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  EXPECT_EQ(quarantine_.Entries().entries[0].crashes, 2U);
}

TEST_F(QuarantineTest, OneRunOfASuspectAtATime) {
  const auto until = clock_.Now() + milliseconds(500);
  EXPECT_EQ(quarantine_.TryStartAlone(1, until), Grant::kGranted);
  EXPECT_EQ(quarantine_.TryStartAlone(1, until), Grant::kBusy);
  EXPECT_EQ(quarantine_.TryStartAlone(2, until), Grant::kGranted);
  quarantine_.OnAloneEnded(1, true);
  EXPECT_EQ(quarantine_.TryStartAlone(1, until), Grant::kGranted);
  // The owner of a lost connection may yet recognise a death.
  quarantine_.OnAloneEnded(1, false);
  clock_.Advance(milliseconds(600));
  EXPECT_EQ(quarantine_.TryStartAlone(1, clock_.Now()), Grant::kBusy);
  EXPECT_EQ(quarantine_.TryStartAlone(2, clock_.Now()), Grant::kGranted);
}

// A new arbiter does not know what the one before it has granted.
TEST_F(QuarantineTest, NoGrantsJustAfterMembersChanged) {
  quarantine_.OnMembersChanged();
  EXPECT_EQ(quarantine_.TryStartAlone(1, clock_.Now()), Grant::kBusy);
  clock_.Advance(Quarantine::kArbiterHoldOff);
  EXPECT_EQ(quarantine_.TryStartAlone(1, clock_.Now()), Grant::kGranted);
}

TEST_F(QuarantineTest, ExpiringEntriesAreNotRevived) {
  EXPECT_FALSE(quarantine_.Merge(
      {{{1, SuspectState::kBlocked, 2, milliseconds(999), {}}}}));
  EXPECT_TRUE(quarantine_.Merge(
      {{{1, SuspectState::kBlocked, 2, std::chrono::hours(99), {}}}}));
  EXPECT_EQ(quarantine_.ExpiresIn(1), Quarantine::kEntryLifetime);
}

// Updates arrive in any order and more than once, and hosts must agree.
TEST_F(QuarantineTest, MergeIsIdempotentAndCommutative) {
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 200; ++round) {
    std::vector<model::SuspectEntry> entries;
    for (int i = 0; i < 20; ++i) {
      entries.push_back({random() % 4,
                         static_cast<SuspectState>(random() % 3),
                         static_cast<std::uint32_t>(1 + random() % 3),
                         milliseconds(1000 + random() % 5000),
                         {}});
      auto& leaves = entries.back().canary_leaves;
      for (std::uint64_t leaf = 1; leaf <= 3; ++leaf) {
        if (random() % 3 == 0) leaves.push_back(leaf);
      }
    }
    Quarantine first(clock_);
    first.Merge({entries});
    std::shuffle(entries.begin(), entries.end(), random);
    Quarantine second(clock_);
    for (const auto& entry : entries) second.Merge({{entry}});
    EXPECT_EQ(first.Entries(), second.Entries());
    EXPECT_EQ(first.Digest(), second.Digest());
    EXPECT_FALSE(second.Merge(first.Entries()));
  }
}

TEST_F(QuarantineTest, DigestTellsDifferentTablesApart) {
  Quarantine other(clock_);
  quarantine_.OnLeafCrash({{1}}, out_);
  EXPECT_NE(quarantine_.Digest(), other.Digest());
  other.Merge(std::get<PublishSuspects>(out_[0]).update);
  EXPECT_EQ(quarantine_.Digest(), other.Digest());
}

TEST(FingerprintTest, RepeatsAreRecognisedAndKeysOfLookupsCount) {
  model::CallerRequest a;
  a.kind = model::RequestKind::kOrder;
  a.key = "k1";
  a.payload = "p";
  model::CallerRequest b = a;
  b.key = "k2";
  EXPECT_EQ(FingerprintOf(a), FingerprintOf(b));
  a.kind = b.kind = model::RequestKind::kLookup;
  EXPECT_NE(FingerprintOf(a), FingerprintOf(b));
  b.key = a.key;
  b.service = {"other"};
  EXPECT_NE(FingerprintOf(a), FingerprintOf(b));
}

TEST(FingerprintTest, AllHostsAgreeOnTheArbiter) {
  std::vector<model::Member> members(3);
  for (int i = 0; i < 3; ++i) members[i].host = {"h" + std::to_string(i)};
  auto reversed = members;
  std::reverse(reversed.begin(), reversed.end());
  for (std::uint64_t f = 0; f < 50; ++f) {
    EXPECT_EQ(ArbiterOf(f, members)->host, ArbiterOf(f, reversed)->host);
  }
  EXPECT_EQ(ArbiterOf(1, {}), nullptr);
}

}  // namespace
}  // namespace berylreach::quarantine
