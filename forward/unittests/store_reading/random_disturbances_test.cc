// Disturbs the store and the hosts in random order and checks what the hosts
// know all the while.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "staleness_check.h"
#include "store_simulation.h"

namespace berylreach::forward {
namespace {

constexpr milliseconds kMaxStaleness{5000};
/// Time within which a change must be in force on hosts in touch: the least of
/// the bounds for configurations, evacuated zones and leaving leaves.
constexpr milliseconds kApplyBound{4000};

/// Disturbs the store and the hosts at random times, in series that overlap.
class RandomDisturbances {
 public:
  RandomDisturbances(StoreSimulation& simulation, StalenessCheck& check,
                     std::uint32_t seed)
      : simulation_(simulation), check_(check), random_(seed) {}

  void Run(int count) {
    for (int i = 0; i < count; ++i) {
      Disturb();
      // Some pauses are so long that hosts are in touch after them.
      const bool calm = Number(0, 3) == 0;
      check_.RunFor(milliseconds(calm ? Number(4000, 9000) : Number(0, 1500)));
    }
    simulation_.store.SetCondition(StoreCondition::kServing);
    simulation_.store.ResetAnswerTime();
    simulation_.store.ConnectAll();
    for (const auto& host : simulation_.hosts)
      if (!host->running()) host->Start();
  }

 private:
  int Number(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  StoreCondition AnyCondition() {
    return std::array{StoreCondition::kServing, StoreCondition::kSilent,
                      StoreCondition::kBusy, StoreCondition::kRefusing,
                      StoreCondition::kReset}[Number(0, 4)];
  }

  SimulatedHost& AnyHost() {
    return *simulation_.hosts[Number(
        0, static_cast<int>(simulation_.hosts.size()) - 1)];
  }

  void Disturb() {
    SimulatedStore& store = simulation_.store;
    SimulatedHost& host = AnyHost();
    const std::string leaf = "leaf" + std::to_string(Number(0, 15));
    switch (Number(0, 14)) {
      case 0:
      case 1:
        store.SetCondition(AnyCondition());
        break;
      case 2:
        store.SetConditionFor(host.entry().name, AnyCondition());
        check_.OnStoreDisturbed();
        break;
      case 3:
        store.Compact();
        check_.OnStoreDisturbed();
        break;
      case 4:
        store.SetAnswerTime(milliseconds(Number(4, 600)));
        break;
      case 5:
        if (host.running())
          host.Freeze(milliseconds(Number(1600, 4000)),
                      milliseconds(100 * Number(0, 1)));
        break;
      case 6:
        if (host.running()) {
          host.Kill();
        } else {
          host.Start();
        }
        break;
      case 7:
        store.Delete(leaf);
        break;
      case 9:
        store.TakeCopy();
        break;
      case 10:
        store.Restore();
        check_.OnStoreDisturbed();
        break;
      case 8:
        store.SetCutOff(host.entry().name, !store.IsCutOff(host.entry().name));
        break;
      case 11:
        simulation_.store.SetHeldUp(host.entry().name, Number(0, 1) == 0);
        break;
      case 12:
        ++version_;
        store.Put(SimulatedVersions::kKey,
                  SimulatedVersions::RecordOf(
                      version_, "set" + std::to_string(Number(0, 2))));
        break;
      default:
        store.SetCondition(StoreCondition::kServing);
        store.ResetAnswerTime();
        store.Put(leaf, std::to_string(Number(0, 1000000)));
        break;
    }
  }

  StoreSimulation& simulation_;
  StalenessCheck& check_;
  std::mt19937 random_;
  std::uint64_t version_ = 0;
};

class RandomDisturbancesTest : public testing::TestWithParam<std::vector<int>> {
};

// Guards against any order of disturbances in which a host in touch keeps an
// old view or follows an old version for too long, or after which its view
// stays behind the store's.
TEST_P(RandomDisturbancesTest, ViewsEqualTheStoreSoonAfterTheLastOne) {
  constexpr std::uint32_t seeds = 200;
  // A host that froze last is away for 4 s itself.
  constexpr milliseconds longest_freeze{4000};
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    // The bounds of the deployments.
    const milliseconds apply_time = seconds(4 + 2 * (seed % 3));
    const milliseconds contact =
        std::max<milliseconds>(apply_time, kMaxStaleness);
    StoreSimulation simulation(GetParam(), contact, {.apply_time = apply_time});
    StalenessCheck check(simulation, contact, kApplyBound, apply_time);
    RandomDisturbances(simulation, check, seed).Run(25);
    ASSERT_FALSE(check.violation())
        << "seed " << seed << ": " << *check.violation();
    const auto time = simulation.TimeUntilCurrent(3 * kMaxStaleness);
    ASSERT_TRUE(time) << "seed " << seed;
    ASSERT_LE(*time, longest_freeze + kMaxStaleness) << "seed " << seed;
    // A current view alone does not show that the host would miss nothing.
    simulation.store.Put("leaf1", "last");
    ASSERT_TRUE(simulation.TimeUntilCurrent(kMaxStaleness)) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(HostsByZone, RandomDisturbancesTest,
                         testing::Values(std::vector{1}, std::vector{2, 3, 1},
                                         std::vector{8}, std::vector{6, 5}));

}  // namespace
}  // namespace berylreach::forward
