// Guards against leaf states that are published for nothing on every change of
// members, and against states that peers take for older than they are.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/core/leaf_owner.h"
#include "berylreach/model/leaf_states.h"

namespace berylreach::core {
namespace {

model::Environment OneLeaf() {
  model::Environment environment;
  environment.zones = {{{"a"}, "east"}};
  model::Service service;
  service.name = {"desk"};
  service.accepts = {model::RequestKind::kQuery};
  service.leaves.push_back({{"l0"}, "127.0.0.1:1", {"a"}, 2, 25});
  environment.services.push_back(service);
  return environment;
}

model::Member HostIn(const std::string& host, const std::string& zone) {
  model::Member member;
  member.host = {host};
  member.zone = {zone};
  member.incarnation = 1;
  return member;
}

class LeafOwnerStatesTest : public testing::Test {
 protected:
  // The only member of the zone of the leaf owns it.
  void AdoptAsOwner(std::uint64_t epoch) {
    Adopt(epoch, {HostIn("a1", "a"), HostIn("b1", "b")});
    owner_.SetOpen({"l0"}, true);
    model::LeafStatus status;
    status.leaf = {"l0"};
    status.reachable = true;
    status.incarnation = 7;
    status.holdings = {{5, 0, 1}};
    owner_.OnLeafStatus(status);
  }

  void AdoptWithoutLeaves(std::uint64_t epoch) {
    Adopt(epoch, {HostIn("b1", "b")});
  }

  // Epochs of the states that PublishChanges sends to the other host.
  std::vector<std::uint64_t> PublishedEpochs() {
    owner_.PublishChanges();
    std::vector<std::uint64_t> epochs;
    for (const Action& action : outbox_.Take()) {
      const auto* send = std::get_if<SendToPeer>(&action);
      if (send == nullptr) continue;
      const auto* states = std::get_if<model::LeafStates>(&send->message);
      if (states == nullptr) continue;
      for (const auto& state : states->states) epochs.push_back(state.epoch);
    }
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

// Another host may have owned the leaf in an epoch that this one skipped; its
// state would count as newer.
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
