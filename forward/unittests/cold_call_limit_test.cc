// Tests the rate of calls to a cold leaf from all hosts together.
#include "berylreach/forward/cold_call_limit.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

/// Lets `count` hosts call one cold leaf as often as they may; returns the
/// maximum number of calls in any second.
std::size_t MaxCallsPerSecond(std::size_t count, double rate) {
  base::ManualClock clock;
  clock.Advance(std::chrono::hours(1));
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back("host-" + std::to_string(i));
  std::vector<ColdCallLimit> hosts(
      count, ColdCallLimit(clock, {.overage = 1.5, .slack = 5}));
  for (std::size_t i = 0; i < count; ++i) hosts[i].SetHosts(names[i], names);
  std::deque<base::TimePoint> calls;
  std::size_t max_calls = 0;
  for (int step = 0; step < 3000; ++step) {
    for (ColdCallLimit& host : hosts) {
      if (!host.MayCall("leaf", rate)) continue;
      host.OnCall("leaf");
      calls.push_back(clock.Now());
    }
    while (!calls.empty() &&
           calls.front() <= clock.Now() - std::chrono::seconds(1))
      calls.pop_front();
    max_calls = std::max(max_calls, calls.size());
    clock.Advance(milliseconds(2));
  }
  return max_calls;
}

// Guards against a cold leaf that is overloaded because each host counts only
// its own calls.
TEST(ColdCallLimitTest, AllHostsTogetherStayWithinTheLimit) {
  for (const std::size_t hosts : {1U, 6U, 85U}) {
    for (const double rate : {0.0, 10.0, 100.0}) {
      const std::size_t max_calls = MaxCallsPerSecond(hosts, rate);
      EXPECT_LE(static_cast<double>(max_calls), rate * 1.5 + 5)
          << hosts << " hosts, rate " << rate;
      EXPECT_GE(max_calls, 1U) << hosts << " hosts, rate " << rate;
    }
  }
}

// Guards against a new host that uses the whole limit because it does not know
// the other hosts yet.
TEST(ColdCallLimitTest, NoCallsBeforeTheHostsAreKnown) {
  base::ManualClock clock;
  const ColdCallLimit limit(clock, {.overage = 1.5, .slack = 5});
  EXPECT_FALSE(limit.MayCall("leaf", 100));
}

}  // namespace
}  // namespace berylreach::forward
