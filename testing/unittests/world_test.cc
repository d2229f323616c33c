// Guards against several hosts that fail without any fault injected: that do
// not join, do not adopt a document, or do not answer queries, lookups and
// orders. Also guards against more than 3 platform calls per second from idle
// hosts.
#include "berylreach/testing/world.h"

#include <gtest/gtest.h>

#include <chrono>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/invariants.h"

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(WorldTest, AnswersEachKindOfRequestFromEachHost) {
  World world(SmallEnvironment(), 1);
  Invariants invariants(world);
  ASSERT_TRUE(StartSixHosts(world));
  for (const std::string& host : SixHosts()) {
    const auto query =
        world.SendRequest(host, Query("\"batch 7\""), milliseconds(1000));
    const auto lookup =
        world.SendRequest(host, Lookup("buckle " + host), milliseconds(1000));
    const auto order = world.SendRequest(host, Order(world, "order " + host),
                                         milliseconds(1000));
    world.RunFor(milliseconds(1300));
    for (const std::size_t index : {query, lookup, order}) {
      const auto& record = world.records()[index];
      const auto* answer = AnswerOf(record);
      ASSERT_NE(answer, nullptr)
          << host << " " << index << ": "
          << (RefusalOf(record) ? RefusalOf(record)->message : "no reply");
      EXPECT_TRUE(answer->coverage.missing.empty());
    }
  }
  EXPECT_EQ(invariants.Violations(), std::vector<std::string>());
}

TEST(WorldTest, KeepsPlatformCallsUnderThreePerSecondWhenIdle) {
  World world(SmallEnvironment(), 2);
  ASSERT_TRUE(StartSixHosts(world));
  world.RunFor(seconds(20));
  const auto before = world.store().calls() + world.host_list_calls();
  world.RunFor(seconds(60));
  const auto calls = world.store().calls() + world.host_list_calls() - before;
  EXPECT_LE(calls, 180U);
}

}  // namespace
}  // namespace berylreach::testing
