// Guards against a host that misses changes of the deployment for good after
// the store was away.
#include "berylreach/forward/store_reader.h"

#include <gtest/gtest.h>

#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kLimit{10000};

// Guards against a host that watches from a listing's revision although it has
// not applied the listing, because an outage cut it short: it would miss all
// changes before that revision for good (review, case 1).
TEST(StoreReaderTest, ListingCutShortByAnOutageIsCompleted) {
  constexpr milliseconds listing_time{400};
  constexpr milliseconds step{5};
  for (milliseconds until{0}; until < listing_time; until += step) {
    StoreSimulation simulation(8);
    simulation.store.SetCondition(StoreCondition::kSilent);
    simulation.time.RunFor(seconds(5));
    simulation.store.Put("leaf3", "1");
    simulation.store.Compact();
    simulation.store.SetCondition(StoreCondition::kServing);
    simulation.time.RunFor(until);
    simulation.store.SetCondition(StoreCondition::kSilent);
    simulation.time.RunFor(milliseconds(4500));
    simulation.store.SetCondition(StoreCondition::kServing);
    ASSERT_TRUE(simulation.TimeUntilCurrent(kLimit)) << until.count();
  }
}

}  // namespace
}  // namespace berylreach::forward
