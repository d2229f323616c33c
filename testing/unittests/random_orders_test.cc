// Guards against orders that run twice, and against "not run" refusals for
// orders that ran, when random faults occur and callers send orders again to
// other hosts. Runs 10,000 orders over all seeds.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "berylreach/testing/deployment.h"
#include "berylreach/testing/fault.h"
#include "berylreach/testing/invariants.h"
#include "berylreach/testing/traffic.h"

namespace berylreach::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kOrdersPerSeed = 2000;
constexpr milliseconds kOrderInterval{20};
constexpr milliseconds kObserveInterval{10};
constexpr milliseconds kFaultInterval{600};
constexpr milliseconds kMinFaultDuration{100};
constexpr std::uint64_t kMaxExtraDurationMs = 4000;
// Maximum time of a submission, which may have to wait for the end of a fault
// of the store.
constexpr seconds kSubmitTime{6};
constexpr seconds kSettleTime{15};

/// Injects random faults at random hosts and leaves. A fault of one kind, or of
/// one exclusion group, is active at one target at a time.
class RandomFaults {
 public:
  RandomFaults(World& world, Invariants& invariants, std::uint64_t seed)
      : world_(world), invariants_(invariants), random_(seed) {}

  void InjectRandom() {
    const auto& faults = AllFaults();
    const Fault& fault = faults[random_.Below(faults.size())];
    const std::string group = ExclusionGroupOf(fault);
    if (!active_.insert(group).second) return;
    targets_.push_back(RandomTarget());
    FaultTarget& target = targets_.back();
    fault.begin(target);
    const milliseconds time =
        kMinFaultDuration + milliseconds(random_.Below(kMaxExtraDurationMs));
    world_.After(time, [&fault, &target] { fault.end(target); });
    world_.After(time + kSubmitTime, [this, group] { active_.erase(group); });
  }

  /// Replaces hosts whose planned stop is complete.
  void ReplaceStopped() {
    for (const std::string& host : world_.RunningHosts()) {
      if (!world_.Stopped(host)) continue;
      world_.KillHost(host);
      world_.StartHost(host, host.substr(0, 1));
    }
  }

 private:
  /// Faults of one group are not injected at the same time. The two faults that
  /// submit documents form one group: each document is based on the one in
  /// force, so the first must be written before the second is submitted.
  static std::string ExclusionGroupOf(const Fault& fault) {
    const bool submits =
        fault.name == "zone_out" || fault.name == "two_operators";
    return submits ? "submits" : fault.name;
  }

  FaultTarget RandomTarget() {
    const std::string host = SixHosts()[random_.Below(6)];
    std::string other = host;
    while (other == host) other = SixHosts()[random_.Below(6)];
    const std::string leaf =
        "hide-ledger-0-" + std::to_string(random_.Below(3));
    return {world_, invariants_, host, other, leaf, other.substr(0, 1)};
  }

  World& world_;
  Invariants& invariants_;
  Random random_;
  std::deque<FaultTarget> targets_;
  std::set<std::string> active_;
};

/// Orders that the traffic sent: distinct keys, requests and answers.
struct OrderCounts {
  std::set<std::string> keys;
  std::size_t requests = 0;
  std::size_t answered = 0;
};

OrderCounts CountOrders(const World& world) {
  OrderCounts counts;
  for (const CallerRecord& record : world.records()) {
    if (record.request.kind != model::RequestKind::kOrder) continue;
    counts.keys.insert(record.request.key);
    ++counts.requests;
    if (AnswerOf(record) != nullptr) ++counts.answered;
  }
  return counts;
}

class RandomOrdersTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomOrdersTest, RunAtMostOnceAndAreReportedTruthfully) {
  World world(SmallEnvironment(), GetParam());
  Invariants invariants(world);
  ASSERT_TRUE(StartSixHosts(world));
  Traffic traffic(world);
  traffic.Start(kOrderInterval);
  RandomFaults faults(world, invariants, GetParam());
  base::TimePoint next_fault = world.Now();
  const base::TimePoint end =
      world.Now() + kOrderInterval * (kOrdersPerSeed + 10);
  while (world.Now() < end) {
    if (world.Now() >= next_fault) {
      faults.InjectRandom();
      next_fault += kFaultInterval;
    }
    world.RunFor(kObserveInterval);
    invariants.Observe();
    faults.ReplaceStopped();
  }
  traffic.Stop();
  world.RunFor(kSettleTime);
  const OrderCounts counts = CountOrders(world);
  EXPECT_GE(counts.keys.size(), kOrdersPerSeed);
  EXPECT_GT(counts.answered, kOrdersPerSeed / 2);
  RecordProperty("requests", static_cast<int>(counts.requests));
  RecordProperty("answered", static_cast<int>(counts.answered));
  for (const std::string& violation : invariants.Violations())
    ADD_FAILURE() << violation << " (seed " << GetParam() << ")";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomOrdersTest,
                         ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace berylreach::testing
