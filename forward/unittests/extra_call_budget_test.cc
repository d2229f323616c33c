// Tests the limit on the retries and hedges of all hosts together.
#include "berylreach/forward/extra_call_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::forward {
namespace {

using std::chrono::milliseconds;

constexpr ExtraCallLimits kLimits{.ratio = 0.2, .slack = 50};

// Guards against hosts that each use the whole slack.
TEST(ExtraCallBudgetTest, DividesTheSlackAmongHosts) {
  base::ManualClock clock;
  ServiceShares shares(clock);
  shares.SetHosts(10);
  ExtraCallBudget budget(clock, kLimits, shares);
  int spent = 0;
  while (budget.TrySpend("s", ExtraCall::kRetry)) ++spent;
  EXPECT_LE(spent, 5);
  EXPECT_GE(spent, 4);
}

// Guards against hedges that use the whole budget, so that failures are not
// retried.
TEST(ExtraCallBudgetTest, HedgesLeavePartOfTheBudgetToRetries) {
  base::ManualClock clock;
  const ServiceShares shares(clock);
  ExtraCallBudget budget(clock, kLimits, shares);
  while (budget.TrySpend("s", ExtraCall::kHedge)) {
  }
  EXPECT_TRUE(budget.TrySpend("s", ExtraCall::kRetry));
}

// Guards against failures of one service that prevent the retries of another.
TEST(ExtraCallBudgetTest, ServicesHaveSeparateBudgets) {
  base::ManualClock clock;
  const ServiceShares shares(clock);
  ExtraCallBudget budget(clock, kLimits, shares);
  while (budget.TrySpend("s", ExtraCall::kRetry)) {
  }
  EXPECT_EQ(budget.RemainingShare("s") < 0.1, true);
  EXPECT_TRUE(budget.TrySpend("t", ExtraCall::kRetry));
}

// Guards against more extra calls than the limit in any window of time, with
// load that stops and starts (seed 7).
TEST(ExtraCallBudgetTest, NoWindowExceedsTheLimitOfAllHosts) {
  base::ManualClock clock;
  constexpr int host_count = 3;
  ServiceShares shares(clock);
  shares.SetHosts(host_count);
  std::vector<ExtraCallBudget> hosts(host_count,
                                     ExtraCallBudget(clock, kLimits, shares));
  std::mt19937 random(7);
  std::vector<std::pair<base::TimePoint, bool>> events;
  for (int step = 0; step < 6000; ++step) {
    clock.Advance(milliseconds(random() % 12));
    ExtraCallBudget& host = hosts[random() % host_count];
    const bool busy = (step / 1500) % 2 == 0;
    if (busy) {
      host.OnRequest("s");
      events.emplace_back(clock.Now(), false);
    }
    if (host.TrySpend("s", ExtraCall::kRetry))
      events.emplace_back(clock.Now(), true);
  }
  for (std::size_t end = 0; end < events.size(); ++end) {
    const base::TimePoint begin = events[end].first - kLimits.window;
    std::size_t extra = 0;
    std::size_t requests = 0;
    std::size_t before = 0;
    for (std::size_t i = 0; i <= end; ++i) {
      const auto [at, is_extra] = events[i];
      if (at > begin) {
        ++(is_extra ? extra : requests);
      } else if (at > begin - kLimits.window && !is_extra) {
        ++before;
      }
    }
    ASSERT_LE(static_cast<double>(extra),
              0.2 * static_cast<double>(std::max(requests, before)) + 50);
  }
}

}  // namespace
}  // namespace berylreach::forward
