// Tests until when versions of the configuration that wait for their shards are
// in force, on hosts that learn of them in time or late.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <tuple>

#include "berylreach/forward/shard_set_handover.h"
#include "reader_trouble.h"
#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};
/// Time of a message between hosts of a zone.
constexpr milliseconds kToHost{5};

/// Longest time by which a follower may take a version for older than it is
/// though nothing is disturbed: its reader cannot tell the age of a change that
/// comes soon after another one.
constexpr milliseconds kMaxDoubt{1800};

/// Puts a version that names a set of its own.
void PutVersion(StoreSimulation& simulation, std::uint64_t version) {
  simulation.store.Put(
      SimulatedVersions::kKey,
      SimulatedVersions::RecordOf(version, "set" + std::to_string(version)));
}

/// Runs a deployment of one zone until all hosts have version 1 in force.
void RunUntilServing(StoreSimulation& simulation) {
  PutVersion(simulation, 1);
  simulation.time.RunFor(seconds(12));
  for (const auto& host : simulation.hosts)
    ASSERT_EQ(host->versions().in_force(), 1U) << host->entry().name;
}

/// The trouble, the time within which versions must be applied, and the time of
/// a message to the store.
class LateVersionTest
    : public testing::TestWithParam<
          std::tuple<ReaderTrouble, milliseconds, milliseconds>> {
 protected:
  static ReaderTrouble trouble() { return std::get<0>(GetParam()); }
  static milliseconds apply_time() { return std::get<1>(GetParam()); }
  static milliseconds to_store() { return std::get<2>(GetParam()); }
};

// Guards against followers that learn of a version late, since their reader has
// failed or stood still, and then let it wait for its shards as long as others
// do: requests with a key that it takes away run for too long (review case 8).
TEST_P(LateVersionTest, IsInForceInTime) {
  constexpr milliseconds step{100};
  constexpr milliseconds poll_period{2100};
  for (milliseconds start{0}; start < poll_period; start += step) {
    for (const std::size_t reader : {0U, 1U}) {
      StoreSimulation simulation({6}, kMaxStaleness,
                                 {.apply_time = apply_time(),
                                  .to_store = to_store(),
                                  .to_host = kToHost});
      ASSERT_NO_FATAL_FAILURE(RunUntilServing(simulation));
      simulation.time.RunFor(start);
      DisturbReader(simulation, trouble(), reader);
      simulation.time.RunFor(step);
      PutVersion(simulation, 2);
      simulation.time.RunFor(apply_time());
      for (std::size_t i = 2; i < simulation.hosts.size(); ++i)
        ASSERT_EQ(simulation.hosts[i]->versions().in_force(), 2U)
            << "host " << i << ", start " << start.count() << ", reader "
            << reader;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Troubles, LateVersionTest,
    testing::Combine(testing::ValuesIn(kReaderTroubles),
                     testing::Values(seconds(4), seconds(6), seconds(8)),
                     testing::Values(milliseconds(20), milliseconds(45))));

/// The number of hosts of the zone, the time within which versions must be
/// applied, and the time of a message to the store.
class UndisturbedVersionTest
    : public testing::TestWithParam<
          std::tuple<int, milliseconds, milliseconds>> {};

// Guards against versions that wait less for their shards, since hosts take
// them for late although nothing disturbs them. New sets are then used while
// their leaves are cold.
TEST_P(UndisturbedVersionTest, WaitsInFull) {
  const auto [hosts, apply_time, to_store] = GetParam();
  const auto max_wait = std::chrono::duration_cast<base::Duration>(
      apply_time * ShardSetHandover::kMaxWaitShare);
  const base::Duration max_wait_if_doubted =
      apply_time - ShardSetHandover::kApplyMargin - kMaxDoubt;
  StoreSimulation simulation(
      {hosts}, kMaxStaleness,
      {.apply_time = apply_time, .to_store = to_store, .to_host = kToHost});
  ASSERT_NO_FATAL_FAILURE(RunUntilServing(simulation));
  std::mt19937 random(1);
  const auto run_for_up_to = [&](int most) {
    simulation.time.RunFor(
        milliseconds(std::uniform_int_distribution<int>(0, most)(random)));
  };
  for (std::uint64_t version = 2; version < 400; ++version) {
    run_for_up_to(5000);
    // The version may come while hosts pause after an earlier change.
    simulation.store.Put("leaf1", std::to_string(version));
    run_for_up_to(1500);
    PutVersion(simulation, version);
    simulation.time.RunFor(apply_time);
    for (const auto& host : simulation.hosts) {
      const SimulatedVersions& versions = host->versions();
      ASSERT_EQ(versions.in_force(), version) << host->entry().name;
      const bool reads_store = hosts == 2 || host->entry().cores > 1;
      ASSERT_GE(
          versions.adopted_at() - versions.learned_at(),
          reads_store ? max_wait : std::min(max_wait, max_wait_if_doubted))
          << host->entry().name << ", version " << version;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Zones, UndisturbedVersionTest,
    testing::Combine(testing::Values(2, 6),
                     testing::Values(seconds(4), seconds(6), seconds(8)),
                     testing::Values(milliseconds(20), milliseconds(45))));

}  // namespace
}  // namespace berylreach::forward
