// Guards against partial answers to queries when an owner of leaves is killed.
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

/// Schedules a query every 20 ms for `span`, to all hosts in turn but none to
/// `excluded`.
void SendQueries(World& world, const std::string& excluded, milliseconds span) {
  int batch = 0;
  for (milliseconds at{0}; at < span; at += milliseconds(20)) {
    const std::string& host = SixHosts()[batch % SixHosts().size()];
    const std::string text = "\"batch " + std::to_string(batch++ % 7) + "\"";
    if (host == excluded) continue;
    world.After(at, [&world, host, text] {
      world.SendRequest(host, Query(text), milliseconds(800));
    });
  }
}

// Guards against queries that wait until the killed owner is removed and its
// leaves are taken over, although other replicas of the shards are free.
class OwnerLossTest : public ::testing::TestWithParam<std::string> {};

TEST_P(OwnerLossTest, AnswersStayWholeWhenAnOwnerIsKilled) {
  const std::string victim = GetParam();
  World world(SmallEnvironment(), 6);
  Invariants invariants(world);
  ASSERT_TRUE(StartSixHosts(world));
  SendQueries(world, victim, seconds(5));
  world.RunFor(seconds(6));
  const std::size_t first = world.records().size();
  SendQueries(world, victim, seconds(5));
  world.RunFor(milliseconds(5));
  world.KillHost(victim);
  world.RunFor(seconds(7));
  int partial = 0;
  for (std::size_t i = first; i < world.records().size(); ++i) {
    const CallerRecord& record = world.records()[i];
    const auto* answer = AnswerOf(record);
    if (answer == nullptr || !answer->coverage.missing.empty()) ++partial;
  }
  EXPECT_EQ(partial, 0);
  EXPECT_EQ(invariants.Violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(AllHosts, OwnerLossTest,
                         ::testing::ValuesIn(SixHosts()));

}  // namespace
}  // namespace berylreach::testing
