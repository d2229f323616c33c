// Guards against a request that is run again and again although it crashes
// leaves, and against harmless requests that stay blocked.
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

// Guards against a block of a harmless request: when a zone loses power, many
// leaves stop while they run the same frequent request.
TEST_F(QuarantineTest, CrashesNotAloneSuspectButNeverBlock) {
  quarantine_.OnCompleted(1);
  for (int i = 0; i < 5; ++i) quarantine_.OnLeafCrash({{1}, {2}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  EXPECT_EQ(out_.size(), 2U);
}

// Guards against a third crash. Copies of a request that reach hosts of several
// regions at the same time crash one leaf in each region; unless hosts add up
// these crashes, the request runs exclusively on a further leaf.
TEST_F(QuarantineTest, CrashesOfTwoLeavesUnderCanariesBlock) {
  Quarantine other(clock_);
  std::vector<Action> other_out;
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  other.OnLeafCrash({{1, false, 12}}, other_out);
  EXPECT_EQ(other.TrustLevelOf(1), TrustLevel::kSuspect);
  const auto revision = other.revision();
  EXPECT_TRUE(other.Merge(std::get<PublishSuspects>(out_[0]).update));
  EXPECT_TRUE(
      quarantine_.Merge(std::get<PublishSuspects>(other_out[0]).update));
  EXPECT_EQ(other.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_GT(other.revision(), revision);
  EXPECT_EQ(quarantine_.Digest(), other.Digest());
  EXPECT_EQ(quarantine_.TryStartExclusive(1, clock_.Now()), Grant::kBlocked);
  quarantine_.OnCompletedExclusive(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
}

// Guards against a block after a single crash, which the entry host and the
// leaf's owner both report.
TEST_F(QuarantineTest, TwoReportsOfOneLeafDoNotBlock) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(out_.size(), 2U);
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(out_.size(), 2U);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
}

// Guards against a run that starts before crashes at other hosts are known, and
// that may crash a third leaf.
TEST_F(QuarantineTest, SuspectCanaryWaitsUntilOtherCrashesAreKnown) {
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), base::Duration::zero());
  quarantine_.OnLeafCrash({{1, false, 11}}, out_);
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), Quarantine::kPropagationTime);
  clock_.Advance(Quarantine::kPropagationTime);
  EXPECT_EQ(quarantine_.CanaryHoldOff(1), base::Duration::zero());
}

// Guards against counting one crash twice, because the owner of the leaf
// reports the suspect before its published entry arrives.
TEST_F(QuarantineTest, SuspicionReportedBeforeItsPushMergesWithIt) {
  quarantine_.OnCompleted(1);
  quarantine_.OnSuspectReportedByOwner(1);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  Quarantine owner(clock_);
  owner.OnLeafCrash({{1, false, 11}}, out_);
  quarantine_.Merge(std::get<PublishSuspects>(out_[0]).update);
  EXPECT_EQ(quarantine_.Entries(), owner.Entries());
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
}

// Guards against a block that a late completion lifts or that never expires.
TEST_F(QuarantineTest, ExclusiveCrashBlocksUntilExpiry) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnLeafCrash({{1, true}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  quarantine_.OnCompletedExclusive(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kBlocked);
  EXPECT_EQ(quarantine_.ExpiresIn(1), Quarantine::kEntryLifetime);
  EXPECT_EQ(quarantine_.TryStartExclusive(1, clock_.Now()), Grant::kBlocked);
  EXPECT_EQ(quarantine_.NextWakeup(),
            clock_.Now() + Quarantine::kEntryLifetime);
  clock_.Advance(Quarantine::kEntryLifetime);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kUnproven);
  quarantine_.Tick();
  EXPECT_TRUE(quarantine_.Entries().entries.empty());
}

// Guards against clearing a suspect request because of a call that completed
// while other calls ran on the leaf.
TEST_F(QuarantineTest, OnlyAnExclusiveCompletionClears) {
  quarantine_.OnLeafCrash({{1}}, out_);
  quarantine_.OnCompleted(1);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  quarantine_.OnCompletedExclusive(1, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kProven);
  quarantine_.OnLeafCrash({{1}}, out_);
  EXPECT_EQ(quarantine_.TrustLevelOf(1), TrustLevel::kSuspect);
  EXPECT_EQ(quarantine_.Entries().entries[0].crashes, 2U);
}

// Guards against a suspect request that runs on two leaves at the same time.
TEST_F(QuarantineTest, OneRunOfASuspectAtATime) {
  const auto until = clock_.Now() + milliseconds(500);
  EXPECT_EQ(quarantine_.TryStartExclusive(1, until), Grant::kGranted);
  EXPECT_EQ(quarantine_.TryStartExclusive(1, until), Grant::kBusy);
  EXPECT_EQ(quarantine_.TryStartExclusive(2, until), Grant::kGranted);
  quarantine_.OnExclusiveEnded(1, true);
  EXPECT_EQ(quarantine_.TryStartExclusive(1, until), Grant::kGranted);
  // After a lost connection, the leaf's owner may still recognise a crash.
  quarantine_.OnExclusiveEnded(1, false);
  clock_.Advance(milliseconds(600));
  EXPECT_EQ(quarantine_.TryStartExclusive(1, clock_.Now()), Grant::kBusy);
  EXPECT_EQ(quarantine_.TryStartExclusive(2, clock_.Now()), Grant::kGranted);
}

// Guards against two runs at the same time after a change of arbiter: the new
// arbiter does not know which runs the former one has granted.
TEST_F(QuarantineTest, NoGrantsShortlyAfterMembersChanged) {
  quarantine_.OnMembersChanged();
  EXPECT_EQ(quarantine_.TryStartExclusive(1, clock_.Now()), Grant::kBusy);
  clock_.Advance(Quarantine::kArbiterHoldOff);
  EXPECT_EQ(quarantine_.TryStartExclusive(1, clock_.Now()), Grant::kGranted);
}

// Guards against entries that never expire because two hosts keep merging them
// from each other.
TEST_F(QuarantineTest, ExpiringEntriesAreNotRevived) {
  EXPECT_FALSE(quarantine_.Merge(
      {{{1, SuspectState::kBlocked, 2, milliseconds(999), {}}}}));
  EXPECT_TRUE(quarantine_.Merge(
      {{{1, SuspectState::kBlocked, 2, std::chrono::hours(99), {}}}}));
  EXPECT_EQ(quarantine_.ExpiresIn(1), Quarantine::kEntryLifetime);
}

// Guards against tables that stay different because hosts receive the same
// updates in different orders, or more than once.
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

// Guards against hosts that do not notice that their tables differ.
TEST_F(QuarantineTest, DigestDiffersForDifferentTables) {
  Quarantine other(clock_);
  quarantine_.OnLeafCrash({{1}}, out_);
  EXPECT_NE(quarantine_.Digest(), other.Digest());
  other.Merge(std::get<PublishSuspects>(out_[0]).update);
  EXPECT_EQ(quarantine_.Digest(), other.Digest());
}

// Guards against an order that crashes leaves and is not recognised because
// each attempt has a new key, and against lookups of different keys that count
// as the same request.
TEST(FingerprintTest, IgnoresKeysOfOrdersButNotOfLookups) {
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

// Guards against hosts that consider different members the arbiter, each of
// which grants a run.
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
