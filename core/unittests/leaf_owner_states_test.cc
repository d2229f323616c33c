// Guards against unchanged leaf states that are published on each change of
// members, and against states that are not published again although peers may
// have newer ones from another owner.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/core/leaf_owner.h"
#include "one_leaf.h"

namespace berylreach::core {
namespace {

model::Member HostIn(const std::string& host, const std::string& zone) {
  model::Member member;
  member.host = {host};
  member.zone = {zone};
  member.incarnation = 1;
  return member;
}

class LeafOwnerStatesTest : public testing::Test {
 protected:
  // The only member in the zone of the leaf, a1, owns it.
  void AdoptAsOwner(std::uint64_t epoch) {
    Adopt(epoch, {HostIn("a1", "zone"), HostIn("b1", "other")});
    owner_.SetOpen({"leaf"}, true);
    model::LeafStatus status;
    status.leaf = {"leaf"};
    status.reachable = true;
    status.incarnation = 7;
    status.holdings = {{5, 0, 1}};
    owner_.OnLeafStatus(status);
  }

  void AdoptWithoutLeaves(std::uint64_t epoch) {
    Adopt(epoch, {HostIn("b1", "other")});
  }

  // Epochs of the states that PublishChanges sends to the other host.
  std::vector<std::uint64_t> PublishedEpochs() {
    std::vector<std::uint64_t> epochs;
    for (const auto& state : PublishedStates(owner_, outbox_))
      epochs.push_back(state.epoch);
    return epochs;
  }

  base::ManualClock clock_;
  quarantine::Quarantine quarantine_{clock_};
  Outbox outbox_{{"a1"}};
  LeafOwner owner_{clock_, quarantine_, outbox_};

 private:
  void Adopt(std::uint64_t epoch, const std::vector<model::Member>& members) {
    const auto environment = OneLeaf();
    const routing::OwnershipTable table(epoch, 1, environment, members);
    owner_.Adopt(table, environment, members);
  }
};

using Epochs = std::vector<std::uint64_t>;

TEST_F(LeafOwnerStatesTest, StatesOfAnOwnerThatStaysAreNotPublishedAgain) {
  AdoptAsOwner(3);
  EXPECT_EQ(PublishedEpochs(), Epochs{3});
  AdoptAsOwner(4);
  EXPECT_EQ(PublishedEpochs(), Epochs{});
}

// Another host may have owned the leaf in the epoch that this host skipped, and
// peers would treat the state from that host as newer.
TEST_F(LeafOwnerStatesTest, StatesArePublishedAgainAfterASkippedEpoch) {
  AdoptAsOwner(3);
  EXPECT_EQ(PublishedEpochs(), Epochs{3});
  AdoptAsOwner(5);
  EXPECT_EQ(PublishedEpochs(), Epochs{5});
}

TEST_F(LeafOwnerStatesTest, StatesArePublishedAgainWhenOwnershipReturns) {
  AdoptAsOwner(3);
  EXPECT_EQ(PublishedEpochs(), Epochs{3});
  AdoptWithoutLeaves(4);
  EXPECT_EQ(PublishedEpochs(), Epochs{});
  AdoptAsOwner(5);
  EXPECT_EQ(PublishedEpochs(), Epochs{5});
}

}  // namespace
}  // namespace berylreach::core
