// Guards against a host whose view of the deployment lags behind the store, or
// misses changes for good, after the store was away.
#include "berylreach/forward/store_reader.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};

/// Longest time from the return of the store until all hosts are current, if
/// the outage was long enough to be noticed.
constexpr milliseconds kRecoveryTime{2000};
/// Longest time for which a follower misses a change while the store answers.
constexpr milliseconds kMaxFollowerAge{3500};
/// An outage of this length covers a renewal of each reading host and its
/// timeout.
constexpr milliseconds kNoticedOutage{2800};

/// Passes pages of a store without records to a reader that starts, until it is
/// about to send its first watch.
void ListEmptyStore(StoreReader& reader, StoreReader::Actions& actions) {
  for (int page = 0; page < 2; ++page) {
    reader.StartNextRead({}, actions);
    reader.OnPage({.position = {.revision = 3}}, actions);
  }
}

/// The poll that a follower sends after its reader has stated how current its
/// view was, this long before the answer. `heeds_wait` is whether the reader
/// holds polls for as long as they ask.
ReadFeed PollAfterAnswer(milliseconds age, bool heeds_wait) {
  base::ManualClock clock;
  const auto host = [](const std::string& name, double cores) {
    return HostEntry{name, name, "z", cores};
  };
  StoreReader reader(clock, host("follower", 0.5), kMaxStaleness);
  StoreReader::Actions actions;
  ListEmptyStore(reader, actions);
  clock.Advance(std::chrono::hours(1));
  const std::vector<HostEntry> zone = {host("r1", 2), host("r2", 2),
                                       host("f1", 0.5), host("f2", 0.5),
                                       host("follower", 0.5)};
  reader.StartNextRead(zone, actions);
  ChangeSet answer{.position = {.revision = 3}};
  answer.current_after_arrival = -age;
  if (heeds_wait) answer.poll_wait = milliseconds(2000);
  reader.OnFeedAnswer(answer, actions);
  actions.clear();
  reader.StartNextRead(zone, actions);
  return std::get<ReadFeed>(actions.back());
}

/// Plays an outage of the store and a change just after it. Returns the time
/// from the store's return until all hosts have the change.
std::optional<milliseconds> RecoveryTime(int hosts, StoreCondition condition,
                                         milliseconds start,
                                         milliseconds length) {
  StoreSimulation simulation({hosts}, kMaxStaleness);
  simulation.time.RunFor(start);
  simulation.store.SetCondition(condition);
  simulation.time.RunFor(length);
  simulation.store.SetCondition(StoreCondition::kServing);
  simulation.store.Put("leaf3", "1");
  return simulation.TimeUntilCurrent(2 * kMaxStaleness);
}

class OutageTest
    : public testing::TestWithParam<std::tuple<int, StoreCondition>> {};

// Guards against a watch that was sent during an outage, is lost in it and
// keeps the host from reading again after the store's return (CONFIG incident).
TEST_P(OutageTest, LostWatchDoesNotOutlastTheOutage) {
  const auto [hosts, condition] = GetParam();
  constexpr milliseconds step{100};
  constexpr milliseconds watch_period{4500};
  for (milliseconds start{0}; start < watch_period; start += step) {
    for (const milliseconds length :
         {kNoticedOutage, milliseconds(3700), milliseconds(4500),
          milliseconds(7400), milliseconds(11300)}) {
      const auto time = RecoveryTime(hosts, condition, start, length);
      ASSERT_TRUE(time) << start.count() << " " << length.count();
      ASSERT_LE(*time, kRecoveryTime) << start.count() << " " << length.count();
    }
  }
}

// Guards against a watch that a short outage drops unnoticed and that outlasts
// it until its own timeout.
TEST_P(OutageTest, UnnoticedOutageDelaysNoChange) {
  const auto [hosts, condition] = GetParam();
  constexpr milliseconds step{100};
  constexpr milliseconds watch_period{4500};
  for (milliseconds start{0}; start < watch_period; start += step) {
    for (milliseconds length = step; length < kNoticedOutage;
         length += 5 * step) {
      const auto time = RecoveryTime(hosts, condition, start, length);
      ASSERT_TRUE(time) << start.count() << " " << length.count();
      ASSERT_LE(*time, kRecoveryTime) << start.count() << " " << length.count();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Conditions, OutageTest,
    testing::Combine(testing::Values(1, 6, 8),
                     testing::Values(StoreCondition::kSilent,
                                     StoreCondition::kBusy,
                                     StoreCondition::kRefusing,
                                     StoreCondition::kReset)));

// Guards against a host that waits for a watch which the store has forgotten,
// although the store refuses its renewals at that time.
TEST(StoreReaderTest, RefusedRenewalEndsAWatch) {
  constexpr milliseconds step{100};
  constexpr milliseconds watch_period{3500};
  // Covers a renewal of each host.
  constexpr milliseconds outage{1100};
  for (milliseconds start{0}; start < watch_period; start += step) {
    const auto time = RecoveryTime(6, StoreCondition::kRefusing, start, outage);
    ASSERT_TRUE(time) << start.count();
    ASSERT_LE(*time, kRecoveryTime) << start.count();
  }
}

// Guards against followers that wait for a reader by the time of its latest
// answer and not by the age of what it knew then.
TEST(StoreReaderTest, PollsWaitByTheAgeOfTheView) {
  const ReadFeed usual = PollAfterAnswer(milliseconds(800), true);
  EXPECT_EQ(usual.wait, milliseconds(2000));
  EXPECT_EQ(usual.timeout, milliseconds(2700));
  const ReadFeed late = PollAfterAnswer(seconds(20), true);
  EXPECT_EQ(late.wait, milliseconds(300));
  EXPECT_EQ(late.timeout, milliseconds(800));
}

// Guards against followers that take readers of older builds for silent, which
// hold each poll for 2 s, and all read the store while hosts are replaced.
TEST(StoreReaderTest, PollsOfReadersThatHeedNoWaitLastInFull) {
  const ReadFeed poll = PollAfterAnswer(milliseconds(1800), false);
  EXPECT_EQ(poll.wait, milliseconds(2000));
  EXPECT_EQ(poll.timeout, milliseconds(3000));
}

// Guards against a host that waits for a watch which was lost alone, as when
// one connection goes silent while the store serves all other calls.
TEST(StoreReaderTest, WatchLostAloneIsReplaced) {
  constexpr milliseconds step{100};
  constexpr milliseconds watch_period{4500};
  for (const int hosts : {1, 6, 8}) {
    for (milliseconds start{0}; start < watch_period; start += step) {
      StoreSimulation simulation({hosts}, kMaxStaleness);
      simulation.time.RunFor(start);
      simulation.store.ForgetWatches();
      simulation.store.Put("leaf3", "1");
      const auto time = simulation.TimeUntilCurrent(2 * kMaxStaleness);
      ASSERT_TRUE(time) << hosts << " " << start.count();
      ASSERT_LE(*time, kRecoveryTime) << hosts << " " << start.count();
    }
  }
}

// Guards against revisions that end each watch, although it reports its changes
// in time.
TEST(StoreReaderTest, WatchesInOrderAreNotReplaced) {
  StoreSimulation simulation({6}, kMaxStaleness);
  const std::size_t calls = simulation.store.calls();
  const std::size_t probes = simulation.store.revision_reads();
  const std::size_t renewals = simulation.store.renewals();
  constexpr int changes = 20;
  for (int i = 0; i < changes; ++i) {
    simulation.time.RunFor(milliseconds(1730));
    simulation.store.Put("leaf3", std::to_string(i));
  }
  const std::size_t reads = simulation.store.calls() - calls -
                            (simulation.store.revision_reads() - probes) -
                            (simulation.store.renewals() - renewals);
  EXPECT_LE(reads, 6U * (changes + 1));
}

// Guards against a renewal that was lost in an outage and ends a read after the
// store's return, as if the store were away again.
TEST(StoreReaderTest, RenewalLostInAnOutageIsNoSecondOutage) {
  for (const milliseconds length :
       {milliseconds(4500), milliseconds(5000), milliseconds(5500)}) {
    StoreSimulation simulation({1}, kMaxStaleness);
    simulation.store.SetCondition(StoreCondition::kSilent);
    simulation.time.RunFor(length);
    simulation.store.SetCondition(StoreCondition::kServing);
    simulation.time.RunFor(seconds(10));
    EXPECT_EQ(simulation.hosts.front()->reported_losses(), 1) << length.count();
  }
}

// Guards against a follower that waits for two frozen readers in turn, and
// sends requests to an evacuated zone meanwhile (review, case 5).
TEST(StoreReaderTest, FollowersOfFrozenReadersLearnFromTheStore) {
  constexpr milliseconds freeze{3500};
  constexpr milliseconds step{300};
  for (milliseconds second{0}; second < freeze; second += step) {
    for (milliseconds change{0}; change < seconds(3); change += step) {
      StoreSimulation simulation({8}, kMaxStaleness);
      simulation.hosts[0]->Freeze(freeze);
      simulation.time.After(second,
                            [&] { simulation.hosts[1]->Freeze(freeze); });
      simulation.time.After(change,
                            [&] { simulation.store.Put("leaf3", "1"); });
      simulation.time.RunFor(change + kMaxFollowerAge);
      for (std::size_t follower = 2; follower < 8; ++follower)
        ASSERT_TRUE(simulation.hosts[follower]->is_current())
            << second.count() << " " << change.count() << " " << follower;
    }
  }
}

// Guards against a follower that waits in turn for a reader which does not know
// yet that it is cut off from the store, and for one that is frozen.
TEST(StoreReaderTest, FollowersOfACutOffAndAFrozenReaderLearnFromTheStore) {
  constexpr milliseconds step{300};
  for (milliseconds freeze{0}; freeze < seconds(4); freeze += step) {
    for (milliseconds change{0}; change < seconds(3); change += step) {
      StoreSimulation simulation({8}, kMaxStaleness);
      simulation.store.SetCutOff(simulation.hosts[0]->entry().name, true);
      simulation.time.After(
          freeze, [&] { simulation.hosts[1]->Freeze(milliseconds(3500)); });
      simulation.time.After(change,
                            [&] { simulation.store.Put("leaf3", "1"); });
      simulation.time.RunFor(change + kMaxFollowerAge);
      for (std::size_t follower = 2; follower < 8; ++follower)
        ASSERT_TRUE(simulation.hosts[follower]->is_current())
            << freeze.count() << " " << change.count() << " " << follower;
    }
  }
}

// Guards against a view that is never known to be current although nothing
// disturbs the host, so that what waits for it waits in vain.
TEST(StoreReaderTest, UndisturbedHostKnowsThatItsViewIsCurrent) {
  // A renewal each second, of which one may fall into the delay after a change,
  // and the time that a watch may take to report.
  constexpr milliseconds max_reader_lag{2500};
  // A poll and its wait besides.
  constexpr milliseconds max_follower_lag{max_reader_lag + milliseconds(2200)};
  StoreSimulation simulation({6}, kMaxStaleness);
  simulation.time.RunFor(kMaxStaleness);
  for (milliseconds passed{0}; passed < seconds(20);
       passed += milliseconds(50)) {
    simulation.time.RunFor(milliseconds(50));
    if (passed.count() % 3000 == 0) simulation.store.Put("leaf1", "x");
    for (std::size_t i = 0; i < simulation.hosts.size(); ++i) {
      const ViewCurrency view = simulation.hosts[i]->currency();
      ASSERT_LE(simulation.time.Now() - view.until,
                i < 2 ? max_reader_lag : max_follower_lag)
          << "host " << i << " after " << passed.count() << " ms";
    }
  }
}

// Guards against a view that is taken for current since the store has answered
// a call that was sent with the watch: the answer to the watch, with changes of
// long ago, may arrive just after it.
TEST(StoreReaderTest, CallSentWithAWatchShowsNothing) {
  base::ManualClock clock;
  clock.Advance(std::chrono::hours(1));
  StoreReader reader(clock, {.name = "h", .zone = "z"}, kMaxStaleness);
  StoreReader::Actions actions;
  ListEmptyStore(reader, actions);
  const base::TimePoint listed = clock.Now();
  clock.Advance(seconds(3));
  reader.StartNextRead({}, actions);
  const base::TimePoint sent = clock.Now();
  clock.Advance(milliseconds(40));
  reader.OnRenewalAnswered(sent);
  EXPECT_EQ(reader.currency().until, listed);
  clock.Advance(milliseconds(260));
  reader.OnRenewalAnswered(clock.Now());
  EXPECT_EQ(reader.currency().until, sent);
}

// Guards against short timeouts that end each read of a store that is slow for
// a long time.
TEST(StoreReaderTest, SlowStoreIsStillRead) {
  for (const milliseconds answer_time :
       {milliseconds(300), milliseconds(1200), milliseconds(2000)}) {
    StoreSimulation simulation({6}, kMaxStaleness);
    simulation.store.SetAnswerTime(answer_time);
    simulation.time.RunFor(seconds(20));
    simulation.store.Put("leaf3", "1");
    EXPECT_TRUE(simulation.TimeUntilCurrent(seconds(20)))
        << answer_time.count();
  }
}

// Guards against a deployment with a small bound whose hosts wait for a lost
// watch as long as those of others.
TEST(StoreReaderTest, WatchesFitTheBoundOfTheDeployment) {
  const base::ManualClock clock;
  for (const auto& [bound, wait] :
       {std::pair{milliseconds(3000), milliseconds(1000)},
        std::pair{milliseconds(5000), milliseconds(3000)},
        std::pair{milliseconds(8000), milliseconds(4000)}}) {
    StoreReader reader(clock, {.name = "h", .zone = "z"}, bound);
    StoreReader::Actions actions;
    ListEmptyStore(reader, actions);
    actions.clear();
    reader.StartNextRead({}, actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<ReadChanges>(actions.front()).wait, wait);
  }
}

}  // namespace
}  // namespace berylreach::forward
