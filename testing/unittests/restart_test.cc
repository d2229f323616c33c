// Guards against too many calls on a leaf, or a needless wait, when its owner
// is restarted.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/invariants.h"
#include "berylreach/testing/world.h"

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kLeaf = "order-desk-0-0";

// Returns the running host that owns kLeaf; empty if there is none. The first
// letter of a host's name is its zone.
std::string OwnerOf(const World& world) {
  for (const std::string& host : world.RunningHosts()) {
    const auto& leaves = world.Core(host)->leaf_owner().leaves();
    const auto found = leaves.find({kLeaf});
    if (found != leaves.end() && found->second.owned) return host;
  }
  return "";
}

// Schedules queries to two hosts every 20 ms for `span`. Payloads repeat, so
// that most queries are proven and need no canary.
void SendQueries(World& world, milliseconds span) {
  static int batch = 0;
  for (milliseconds at{0}; at < span; at += milliseconds(20)) {
    world.After(at, [&world] {
      const std::string text = "\"batch " + std::to_string(batch++ % 20) + "\"";
      for (const char* host : {"a1", "a2"})
        world.SendRequest(host, Query(text), milliseconds(1400));
    });
  }
}

// Guards against a restarted owner that calls its leaf while calls of its
// killed incarnation still run there.
TEST(RestartTest, RestartedOwnerStaysWithinSlots) {
  World world(SmallEnvironment(), 4);
  Invariants invariants(world);
  ASSERT_TRUE(StartSixHosts(world));
  SendQueries(world, seconds(3));
  world.RunFor(seconds(3));
  // The calls that run when the owner is killed outlast its restart.
  world.leaf(kLeaf).SetServiceTime(milliseconds(900));
  SendQueries(world, seconds(6));
  world.RunFor(milliseconds(100));
  const std::string owner = OwnerOf(world);
  ASSERT_FALSE(owner.empty());
  world.KillHost(owner);
  world.StartHost(owner, owner.substr(0, 1));
  world.RunFor(seconds(6));
  EXPECT_EQ(OwnerOf(world), owner);
  // The leaf has 2 slots.
  EXPECT_EQ(world.leaf(kLeaf).max_running(), 2U);
  EXPECT_EQ(invariants.Violations(), std::vector<std::string>());
}

// Guards against a restarted owner that waits for its former incarnation after
// a planned stop, although that incarnation released its leaves.
TEST(RestartTest, PlannedRestartDoesNotWaitForOldIncarnation) {
  World world(SmallEnvironment(), 5);
  ASSERT_TRUE(StartSixHosts(world));
  const std::string owner = OwnerOf(world);
  world.StopHost(owner);
  ASSERT_TRUE(
      world.RunUntil([&] { return world.Stopped(owner); }, seconds(10)));
  world.RunFor(milliseconds(100));
  // The host has stopped serving; this ends its process.
  world.KillHost(owner);
  world.RunFor(milliseconds(200));
  world.StartHost(owner, owner.substr(0, 1));
  // Whether calls on the leaf may start.
  const auto open = [&] {
    const auto& leaves = world.Core(owner)->leaf_owner().leaves();
    const auto found = leaves.find({kLeaf});
    return found != leaves.end() && found->second.open;
  };
  // Shorter than the wait for the serving lease of an incarnation that has not
  // released its leaves: 1.5 s, plus 200 ms for clock drift.
  EXPECT_TRUE(world.RunUntil(open, milliseconds(500)));
}

}  // namespace
}  // namespace berylreach::testing
