// Tests that a version gets no more calls than the exposure bound allows,
// whatever hosts do and know.
#include <gtest/gtest.h>

#include <iostream>
#include <tuple>

#include "berylreach/forward/exposure_limit.h"
#include "shift_simulation.h"

namespace berylreach::forward {
namespace {

constexpr double kShare = 0.1;
constexpr double kSlack = 50;

/// Fleet size and calls per second.
class VersionExposureTest
    : public testing::TestWithParam<std::tuple<std::size_t, double>> {
 protected:
  ShiftConditions Conditions() const {
    return {.hosts = std::get<0>(GetParam()),
            .rate = std::get<1>(GetParam()),
            .duration = seconds(60)};
  }

  /// Plays until kFull is due and checks the bound all the time.
  void PlayWithinBound(ShiftSimulation& simulation, const std::string& name) {
    double highest = 0;
    const std::uint64_t before = simulation.arrivals;
    for (int i = 0; i < 490; ++i) {
      simulation.RunFor(milliseconds(100));
      const auto all = static_cast<double>(simulation.arrivals - before);
      const auto target = static_cast<double>(simulation.target_arrivals);
      highest = std::max(highest, target / (kShare * all + kSlack));
      ASSERT_LE(target, kShare * all + kSlack);
    }
    std::cout << "exposure " << name << " hosts=" << simulation.hosts.size()
              << " rate=" << simulation.conditions.rate
              << " target=" << simulation.target_arrivals
              << " all=" << simulation.arrivals - before
              << " highest part of the bound=" << highest << "\n";
  }
};

// Fails if hosts take more than their parts, or if a restart gives a host its
// part of the slack again.
TEST_P(VersionExposureTest, StaysWithinBoundWhileHostsRestart) {
  ShiftSimulation simulation(Conditions(), 1);
  simulation.RunFor(seconds(5));
  simulation.Order();
  for (int i = 0; i < 3; ++i)
    for (std::size_t host = 0; host < simulation.hosts.size(); ++host)
      simulation.time.After(
          seconds(2 + 13 * i) +
              milliseconds(8000 * host / simulation.hosts.size()),
          [&simulation, host] { simulation.Restart(host); });
  PlayWithinBound(simulation, "restarts");
}

// Fails if hosts that are cut off, or get the records late and in other orders,
// count on the state of others.
TEST_P(VersionExposureTest, StaysWithinBoundWhileHostsAreCutOff) {
  ShiftSimulation simulation(Conditions(), 2);
  simulation.lost_writes = 0.3;
  simulation.RunFor(seconds(5));
  simulation.Order();
  for (int i = 0; i < 40; ++i) {
    const std::size_t host = simulation.random() % simulation.hosts.size();
    simulation.time.After(seconds(1 + i), [&simulation, host, i] {
      if (i % 2 == 0) {
        simulation.CutStore(host, true);
      } else {
        simulation.CutOff(host, true);
      }
    });
    simulation.time.After(seconds(6 + i), [&simulation, host] {
      simulation.CutOff(host, false);
    });
  }
  PlayWithinBound(simulation, "cut-offs");
}

INSTANTIATE_TEST_SUITE_P(Fleets, VersionExposureTest,
                         testing::Values(std::tuple{6, 50.0},
                                         std::tuple{70, 5.0},
                                         std::tuple{70, 300.0},
                                         std::tuple{200, 20.0},
                                         std::tuple{200, 500.0}));

// Fails if hosts divide more calls than there are, or fewer.
TEST(SlackPartTest, PartsAddUp) {
  for (const std::size_t count : {1U, 6U, 70U, 195U, 2400U}) {
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < count; ++i)
      hosts.push_back("h" + std::to_string(i));
    if (count == 2400) hosts.resize(400);
    double sum = 0;
    for (const std::string& host : hosts)
      sum += SlackPart({}, host, hosts, "s/v2");
    EXPECT_EQ(sum, 30) << count;
  }
}

// Fails if what was saved under an order can be used under the next one for the
// same version.
TEST(ExposureLimitTest, RestartKeepsAtMostThePartOfTheSlack) {
  ExposureLimit limit(0.1, 2);
  for (int i = 0; i < 100; ++i) limit.OnArrived();
  limit.Restart(2);
  limit.OnTargetSent();
  EXPECT_TRUE(limit.MayCall());
  limit.OnTargetSent();
  EXPECT_FALSE(limit.MayCall());
}

}  // namespace
}  // namespace berylreach::forward
