// Guards against hosts that do not notice that the store has come back from an
// older copy of itself, which gives out revisions again: they would miss
// changes until they are made once more.
#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};
/// Longest time from the return of the store until all hosts are current.
constexpr milliseconds kRecoveryTime{2000};
constexpr milliseconds kStep{300};
constexpr milliseconds kWatchPeriod{4500};

/// Number of hosts of each zone, and how the store fails before it returns.
class RestoredStoreTest : public testing::TestWithParam<
                              std::tuple<std::vector<int>, StoreCondition>> {
 protected:
  /// Plays an outage after which the store returns from a copy of 3 s before,
  /// with two changes lost and `changes_after` made at once.
  static void PlayReturn(StoreSimulation& simulation, milliseconds outage,
                         int changes_after) {
    SimulatedStore& store = simulation.store;
    store.TakeCopy();
    simulation.time.RunFor(seconds(1));
    store.Put("leaf3", "lost");
    store.Delete("leaf4");
    simulation.time.RunFor(seconds(2));
    store.SetCondition(std::get<1>(GetParam()));
    simulation.time.RunFor(outage);
    store.SetCondition(StoreCondition::kServing);
    store.Restore();
    for (int i = 0; i < changes_after; ++i)
      store.Put("leaf" + std::to_string(i), "after" + std::to_string(i));
  }

  static void ExpectCurrentSoon(StoreSimulation& simulation,
                                const std::string& place) {
    const auto time = simulation.TimeUntilCurrent(2 * kMaxStaleness);
    ASSERT_TRUE(time) << place;
    ASSERT_LE(*time, kRecoveryTime) << place;
    // A current view alone does not show that the host would miss nothing.
    simulation.store.Put("leaf1", "next");
    ASSERT_TRUE(simulation.TimeUntilCurrent(kRecoveryTime)) << place;
  }
};

TEST_P(RestoredStoreTest, HostsFollowTheCopy) {
  for (milliseconds start{0}; start < kWatchPeriod; start += kStep) {
    for (const milliseconds outage :
         {milliseconds(0), milliseconds(700), milliseconds(3000)}) {
      for (const int changes_after : {0, 2, 5}) {
        StoreSimulation simulation(std::get<0>(GetParam()), kMaxStaleness);
        simulation.time.RunFor(start);
        PlayReturn(simulation, outage, changes_after);
        ExpectCurrentSoon(simulation, std::to_string(start.count()) + " " +
                                          std::to_string(outage.count()) + " " +
                                          std::to_string(changes_after));
      }
    }
  }
}

TEST_P(RestoredStoreTest, HostsFollowASecondCopy) {
  for (milliseconds between{0}; between < kWatchPeriod; between += kStep) {
    StoreSimulation simulation(std::get<0>(GetParam()), kMaxStaleness);
    PlayReturn(simulation, milliseconds(700), 2);
    simulation.time.RunFor(between);
    PlayReturn(simulation, milliseconds(3000), 3);
    ExpectCurrentSoon(simulation, std::to_string(between.count()));
  }
}

// Guards against followers that keep what the store has lost, while the hosts
// whose feeds they read are frozen during its return.
TEST_P(RestoredStoreTest, FollowersOfFrozenHostsFollowTheCopy) {
  constexpr milliseconds freeze{4000};
  for (milliseconds start{0}; start < kWatchPeriod; start += kStep) {
    StoreSimulation simulation(std::get<0>(GetParam()), kMaxStaleness);
    simulation.time.RunFor(start);
    simulation.hosts[0]->Freeze(freeze);
    if (simulation.hosts.size() > 1) simulation.hosts[1]->Freeze(freeze);
    PlayReturn(simulation, milliseconds(0), 2);
    simulation.time.RunFor(kMaxStaleness);
    ASSERT_TRUE(simulation.AllCurrent()) << start.count();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Deployments, RestoredStoreTest,
    testing::Combine(testing::Values(std::vector{1}, std::vector{2, 3, 1},
                                     std::vector{8}, std::vector{6, 5}),
                     testing::Values(StoreCondition::kSilent,
                                     StoreCondition::kReset)));

// Guards against a fleet whose hosts all list the store at the moment of its
// return, beyond its rate of reads: followers wait for the hosts that they
// follow.
TEST(StoreReaderTest, OnlyReadersListACopy) {
  constexpr std::size_t readers = 4;
  StoreSimulation simulation({20, 20}, kMaxStaleness);
  simulation.store.TakeCopy();
  simulation.store.Put("leaf3", "lost");
  simulation.time.RunFor(seconds(1));
  const std::size_t pages = simulation.store.pages();
  simulation.store.Restore();
  ASSERT_TRUE(simulation.TimeUntilCurrent(kMaxStaleness));
  simulation.time.RunFor(seconds(10));
  const std::size_t pages_of_a_listing =
      simulation.store.items().size() / SimulatedStore::kPageSize + 1;
  EXPECT_LE(simulation.store.pages() - pages, readers * pages_of_a_listing);
}

/// A reader that has read a listing of the first era.
class EraTest : public testing::Test {
 protected:
  EraTest() {
    Next();
    reader_.OnPage(Page(1, 7), actions_);
    Next();
    reader_.OnPage(Page(1, 7), actions_);
    Next();
  }

  static StorePage Page(std::uint64_t era, std::uint64_t revision) {
    return {.position = {.era = era, .revision = revision}};
  }

  /// Starts the next read; actions_ then has its actions alone.
  void Next() {
    actions_.clear();
    reader_.StartNextRead({}, actions_);
  }

  template <typename Action>
  bool HasAction() const {
    for (const StoreReadAction& action : actions_)
      if (std::holds_alternative<Action>(action)) return true;
    return false;
  }

  base::ManualClock clock_;
  StoreReader reader_{clock_, {.name = "h", .zone = "z"}, kMaxStaleness};
  StoreReader::Actions actions_;
};

// Guards against changes after a revision of an earlier era, which has another
// meaning now.
TEST_F(EraTest, ChangesOfALaterEraAreNotApplied) {
  reader_.OnChanges(
      {.changes = {{"a", "1"}}, .position = {.era = 2, .revision = 9}},
      actions_);
  EXPECT_FALSE(HasAction<ApplyRecordChanges>());
  EXPECT_TRUE(HasAction<ReportStoreRestored>());
  EXPECT_EQ(reader_.position(), (StorePosition{.era = 1, .revision = 7}));
  Next();
  EXPECT_TRUE(HasAction<ReadPage>());
}

// Guards against a watch from an old revision that goes on although another
// call has found out about the new era.
TEST_F(EraTest, LaterEraEndsTheWatch) {
  reader_.OnStoreEra(2, actions_);
  EXPECT_TRUE(HasAction<CancelRead>());
  EXPECT_TRUE(HasAction<ReportStoreRestored>());
  Next();
  EXPECT_TRUE(HasAction<ReadPage>());
}

// Guards against an answer from before the return that arrives after it and
// takes the host back.
TEST_F(EraTest, AnswersOfAnEarlierEraAreNotApplied) {
  reader_.OnStoreEra(2, actions_);
  Next();
  reader_.OnPage(Page(1, 8), actions_);
  EXPECT_FALSE(HasAction<ReplaceRecords>());
  EXPECT_EQ(reader_.position(), (StorePosition{.era = 1, .revision = 7}));
}

// Guards against a listing with pages of two eras.
TEST_F(EraTest, ListingBeginsAgainInALaterEra) {
  reader_.OnStoreEra(2, actions_);
  Next();
  reader_.OnPage({.changes = {{"a", "1"}},
                  .position = {.era = 2, .revision = 5},
                  .truncated = true},
                 actions_);
  Next();
  reader_.OnPage(Page(3, 4), actions_);
  EXPECT_FALSE(HasAction<ReplaceRecords>());
  Next();
  ASSERT_TRUE(HasAction<ReadPage>());
  EXPECT_EQ(std::get<ReadPage>(actions_.back()).after, "");
}

// Guards against eras that go back, and against a store without eras.
TEST_F(EraTest, EarlierAndUnstatedErasChangeNothing) {
  reader_.OnStoreEra(0, actions_);
  reader_.OnStoreEra(1, actions_);
  EXPECT_FALSE(HasAction<ReportStoreRestored>());
  reader_.OnChanges(Page(0, 9), actions_);
  EXPECT_EQ(reader_.position(), (StorePosition{.era = 1, .revision = 9}));
}

}  // namespace
}  // namespace berylreach::forward
