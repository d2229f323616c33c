// Guards against a change of the state of a leaf that its owner does not
// publish. After an answer that confirms the published state the owner does not
// look for changes; an answer that shows a change must not be treated like it.
#include "berylreach/core/leaf_owner.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "one_leaf.h"

namespace berylreach::core {
namespace {

using model::LeafHealth;
using model::LeafOutcome;

class LeafOwnerTest : public testing::Test {
 protected:
  LeafOwnerTest() {
    const std::vector<model::Member> members{{{"host"}, 1, {"zone"}, "", ""},
                                             {{"peer"}, 2, {"other"}, "", ""}};
    owner_.Adopt(routing::OwnershipTable(1, 1, environment_, members),
                 environment_, members);
    owner_.SetLeaseExpiry(clock_.Now() + std::chrono::hours(1));
    owner_.SetOpen({"leaf"}, true);
    Answer(LeafOutcome::kOk, 7);
    Answer(LeafOutcome::kOk, 7);
    Published();
  }

  /// Runs a call that ends with `outcome` on a leaf that holds `version`.
  void Answer(LeafOutcome outcome, std::uint64_t version) {
    model::LeafCall call;
    call.id = {1, ++next_};
    call.leaf = {"leaf"};
    call.service = {"desk"};
    call.budget = std::chrono::seconds(1);
    owner_.OnCall({"peer"}, call);
    clock_.Advance(std::chrono::milliseconds(5));
    model::UpstreamResult result;
    result.id = call.id;
    result.leaf = {"leaf"};
    result.outcome = outcome;
    result.incarnation = 9;
    result.holdings = {{version, 0, 1}};
    owner_.OnUpstreamResult(result);
  }

  /// The states that are sent to the peer now.
  std::vector<model::LeafState> Published() {
    return PublishedStates(owner_, outbox_);
  }

  base::ManualClock clock_;
  quarantine::Quarantine quarantine_{clock_};
  Outbox outbox_{{"host"}};
  LeafOwner owner_{clock_, quarantine_, outbox_};
  model::Environment environment_ = OneLeaf();
  std::uint64_t next_ = 0;
};

TEST_F(LeafOwnerTest, AnswerThatConfirmsTheStatePublishesNothing) {
  const auto digest = owner_.StatesDigest();
  Answer(LeafOutcome::kOk, 7);
  EXPECT_TRUE(Published().empty());
  EXPECT_EQ(owner_.StatesDigest(), digest);
}

TEST_F(LeafOwnerTest, NewHoldingsArePublished) {
  const auto digest = owner_.StatesDigest();
  Answer(LeafOutcome::kOk, 8);
  const auto states = Published();
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].holdings, (std::vector<model::Holding>{{8, 0, 1}}));
  EXPECT_NE(owner_.StatesDigest(), digest);
}

TEST_F(LeafOwnerTest, ColdLeafIsPublishedAndAgainOnceItIsUsable) {
  Answer(LeafOutcome::kShed, 7);
  auto states = Published();
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].health, LeafHealth::kCold);
  Answer(LeafOutcome::kOk, 7);
  states = Published();
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].health, LeafHealth::kUsable);
}

TEST_F(LeafOwnerTest, DrainingLeafIsPublished) {
  Answer(LeafOutcome::kDraining, 7);
  const auto states = Published();
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].health, LeafHealth::kDraining);
}

}  // namespace
}  // namespace berylreach::core
