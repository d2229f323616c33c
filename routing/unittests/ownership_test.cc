// Guards against hosts that disagree about the owner of a leaf, so that two
// hosts send it work at the same time.
#include <gtest/gtest.h>

#include <algorithm>

#include "berylreach/routing/owner_of.h"
#include "berylreach/routing/ownership_table.h"
#include "test_environment.h"

namespace berylreach::routing {
namespace {

std::vector<model::Member> MakeMembers() {
  std::vector<model::Member> members;
  for (int i = 0; i < 6; ++i) {
    model::Member member;
    member.host = {"host" + std::to_string(i)};
    member.zone = {"z" + std::to_string(i % 2)};
    members.push_back(member);
  }
  return members;
}

// Guards against an owner in another zone although the zone of the leaf has
// members.
TEST(OwnershipTest, OwnerIsInTheZoneOfTheLeaf) {
  const auto environment = MakeEnvironment(std::vector<std::string>(40, "z1"));
  for (const model::Leaf& leaf : environment.services[0].leaves) {
    const auto owner = OwnerOf(environment, MakeMembers(), leaf.name);
    ASSERT_TRUE(owner);
    EXPECT_EQ((owner->value.back() - '0') % 2, 1);
  }
}

// Guards against leaves that have no owner because all hosts of their zone are
// lost.
TEST(OwnershipTest, ZoneWithoutMembersFallsBackToAllMembers) {
  const auto environment = MakeEnvironment({"z2"});
  EXPECT_TRUE(OwnerOf(environment, MakeMembers(), {"l0"}));
}

// Guards against hosts that disagree because their member lists are ordered
// differently, and against leaves that change their owner although it is still
// a member.
TEST(OwnershipTest, OwnershipDependsNeitherOnOrderNorOnOtherMembers) {
  const auto environment = MakeEnvironment(std::vector<std::string>(40, "z0"));
  auto members = MakeMembers();
  const OwnershipTable before(1, 1, environment, members);
  std::reverse(members.begin(), members.end());
  std::erase_if(members, [](const auto& m) { return m.host.value == "host0"; });
  const OwnershipTable after(2, 1, environment, members);
  int moved = 0;
  for (const model::Leaf& leaf : environment.services[0].leaves) {
    if (before.Owner(leaf.name)->value == "host0") {
      ++moved;
      continue;
    }
    EXPECT_EQ(*before.Owner(leaf.name), *after.Owner(leaf.name));
  }
  EXPECT_EQ(moved, static_cast<int>(before.OwnedBy({"host0"}).size()));
  EXPECT_GT(moved, 0);
}

// Guards against a crash, or an arbitrary owner, for a leaf that the document
// does not name or before the first member is known.
TEST(OwnershipTest, UnknownLeafAndNoMembersHaveNoOwner) {
  const auto environment = MakeEnvironment({"z0"});
  EXPECT_FALSE(OwnerOf(environment, MakeMembers(), {"other"}));
  EXPECT_FALSE(OwnerOf(environment, {}, {"l0"}));
  EXPECT_EQ(OwnershipTable().Owner({"l0"}), nullptr);
}

}  // namespace
}  // namespace berylreach::routing
