// Guards against listings of the store that an outage cuts short.
#include <gtest/gtest.h>

#include <tuple>
#include <vector>

#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};

/// Number of hosts of each zone, kind of outage, and whether the store discards
/// its history in the outage.
class CutListingTest : public testing::TestWithParam<
                           std::tuple<std::vector<int>, StoreCondition, bool>> {
 protected:
  static constexpr milliseconds kStep{10};

  /// Plays an outage in which the records change.
  static void PlayOutage(StoreSimulation& simulation) {
    const auto& [hosts, condition, discards_history] = GetParam();
    simulation.store.SetCondition(condition);
    simulation.store.Put("leaf3", "2");
    simulation.store.Delete("leaf1");
    if (discards_history) simulation.store.Compact();
    simulation.time.RunFor(milliseconds(4500));
    simulation.store.SetCondition(StoreCondition::kServing);
  }
};

// Guards against a host that watches from a listing's revision although it has
// not applied the listing, because an outage cut it short at one of its pages:
// it would miss all changes before that revision for good, and so would the
// hosts that follow it (review, case 1).
TEST_P(CutListingTest, ListingCutShortByAnOutageIsCompleted) {
  constexpr milliseconds listing_time{400};
  for (milliseconds until{0}; until < listing_time; until += kStep) {
    StoreSimulation simulation(std::get<0>(GetParam()), kMaxStaleness);
    simulation.store.SetCondition(StoreCondition::kSilent);
    simulation.time.RunFor(seconds(5));
    simulation.store.Put("leaf3", "1");
    simulation.store.Compact();
    simulation.store.SetCondition(StoreCondition::kServing);
    simulation.time.RunFor(until);
    PlayOutage(simulation);
    const auto time = simulation.TimeUntilCurrent(2 * kMaxStaleness);
    ASSERT_TRUE(time) << until.count();
    ASSERT_LE(*time, kMaxStaleness) << until.count();
  }
}

// Guards against a host that starts with a part of the records, because an
// outage cut short its listing of the hosts or of all records.
TEST_P(CutListingTest, FirstListingCutShortByAnOutageIsCompleted) {
  constexpr milliseconds start_time{600};
  for (milliseconds until{0}; until < start_time; until += kStep) {
    StoreSimulation simulation(std::get<0>(GetParam()), kMaxStaleness);
    for (const auto& host : simulation.hosts) host->Kill();
    for (const auto& host : simulation.hosts) host->Start();
    simulation.time.RunFor(until);
    PlayOutage(simulation);
    const auto time = simulation.TimeUntilCurrent(2 * kMaxStaleness);
    ASSERT_TRUE(time) << until.count();
    ASSERT_LE(*time, kMaxStaleness) << until.count();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Conditions, CutListingTest,
    testing::Combine(testing::Values(std::vector{2, 3, 1}, std::vector{8},
                                     std::vector{6, 5}),
                     testing::Values(StoreCondition::kSilent,
                                     StoreCondition::kBusy,
                                     StoreCondition::kRefusing,
                                     StoreCondition::kReset),
                     testing::Bool()));

}  // namespace
}  // namespace berylreach::forward
