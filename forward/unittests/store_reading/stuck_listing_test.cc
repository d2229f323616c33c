// Guards against pages of the store that bring a listing no further (issue 50).
#include <gtest/gtest.h>

#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};
constexpr int kHosts = 6;

class StuckListingTest : public testing::TestWithParam<PagingFault> {
 protected:
  void RestartAll() {
    for (const auto& host : simulation_.hosts) host->Kill();
    for (const auto& host : simulation_.hosts) host->Start();
  }

  StoreSimulation simulation_{{kHosts}, kMaxStaleness};
};

// Guards against a host that reads the same page again and again without a
// delay, and against one that takes a part of the records for all of them.
TEST_P(StuckListingTest, PagesWithoutProgressAreReadAgainLater) {
  constexpr seconds duration{10};
  /// A starting host repeats a failed read after 150 ms.
  constexpr std::size_t max_reads_per_second = 7;
  simulation_.store.SetPagingFault(GetParam());
  RestartAll();
  const std::size_t pages = simulation_.store.pages();
  simulation_.time.RunFor(duration);
  EXPECT_LE(simulation_.store.pages() - pages,
            kHosts * max_reads_per_second * duration.count());
  for (const auto& host : simulation_.hosts) {
    EXPECT_EQ(host->position().revision, 0U) << host->entry().name;
    EXPECT_EQ(host->reported_losses(), 1) << host->entry().name;
  }
  simulation_.store.SetPagingFault(PagingFault::kNone);
  EXPECT_TRUE(simulation_.TimeUntilCurrent(kMaxStaleness));
}

// Guards against a running host that gives up its view for a part of the
// records, or stays with an old view when the pages are whole again.
TEST_P(StuckListingTest, RunningHostKeepsItsViewUntilTheListingIsWhole) {
  simulation_.store.SetPagingFault(GetParam());
  simulation_.store.Compact();
  simulation_.store.Put("leaf3", "1");
  simulation_.time.RunFor(seconds(10));
  for (const auto& host : simulation_.hosts)
    EXPECT_GT(host->position().revision, 0U) << host->entry().name;
  simulation_.store.SetPagingFault(PagingFault::kNone);
  EXPECT_TRUE(simulation_.TimeUntilCurrent(kMaxStaleness));
}

INSTANTIATE_TEST_SUITE_P(Faults, StuckListingTest,
                         testing::Values(PagingFault::kFirstPageOnly,
                                         PagingFault::kEmptyPages));

}  // namespace
}  // namespace berylreach::forward
