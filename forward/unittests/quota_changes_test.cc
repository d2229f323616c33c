// Guards against quotas that callers feel without having used them up, and
// against changes of quotas that take effect late.
#include <gtest/gtest.h>

#include "quota_simulation.h"

namespace berylreach::forward {
namespace {

/// After this time, hosts that started together are no newcomers any more.
constexpr seconds kWarmUp{35};

std::function<QuotaSimulation::Host&()> AnyHost(QuotaSimulation& simulation) {
  return [&simulation]() -> QuotaSimulation::Host& {
    return *simulation.hosts[simulation.RandomIndex(simulation.hosts.size())];
  };
}

// Guards against a rare request that is refused because another region or host
// holds the tokens.
TEST(QuotaChangesTest, RareRequestsOnManyHostsAreNotRefused) {
  for (const std::size_t hosts : {6U, 75U, 200U}) {
    QuotaSimulation simulation({.hosts = hosts, .seed = hosts});
    simulation.SetLimits({{"a", 1, 2}});
    simulation.time.RunFor(kWarmUp);
    const seconds played{400};
    simulation.Load("a", 0.3, simulation.time.Now() + played,
                    AnyHost(simulation));
    simulation.time.RunFor(played);
    const QuotaOutcome& outcome = simulation.outcomes["a"];
    EXPECT_GT(outcome.admitted.size(), 80U) << hosts;
    EXPECT_EQ(outcome.over_limit + outcome.no_owner, 0U) << hosts;
  }
}

// Guards against requests that are refused within their quotas for 30 s after a
// common start, until owners grant in full.
TEST(QuotaChangesTest, OwnersGrantInFullSoonAfterACommonStart) {
  QuotaSimulation simulation({.hosts = 75, .seed = 3});
  simulation.SetLimits({{"a", 2, 2}});
  simulation.time.RunFor(seconds(12));
  const seconds played{18};
  simulation.Load("a", 1, simulation.time.Now() + played, AnyHost(simulation));
  simulation.time.RunFor(played);
  const QuotaOutcome& outcome = simulation.outcomes["a"];
  EXPECT_GT(outcome.admitted.size(), 10U);
  EXPECT_EQ(outcome.over_limit + outcome.no_owner, 0U);
}

// Guards against an exhausted quota whose claims delay or refuse the requests
// of others. At a fifth of its rate, random demand stays within a burst of 5.
TEST(QuotaChangesTest, AnExhaustedQuotaCostsOthersNothing) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    QuotaSimulation simulation({.hosts = 12, .seed = seed});
    simulation.SetLimits({{"hot", 10, 5}, {"other", 10, 5}});
    simulation.time.RunFor(kWarmUp);
    const base::TimePoint end = simulation.time.Now() + seconds(60);
    simulation.Load("hot", 75, end, AnyHost(simulation));
    simulation.Load("other", 2, end, AnyHost(simulation));
    simulation.time.RunFor(seconds(60));
    EXPECT_GT(simulation.outcomes["hot"].over_limit, 3000U);
    const QuotaOutcome& other = simulation.outcomes["other"];
    EXPECT_GT(other.admitted.size(), 80U) << seed;
    EXPECT_EQ(other.over_limit + other.no_owner, 0U) << seed;
  }
}

// Guards against tokens of a former rate that outlast a window, and against
// refusals that go on although a raised quota permits the requests.
TEST(QuotaChangesTest, ChangesTakeEffectInTime) {
  QuotaSimulation simulation({.hosts = 12});
  const LimitSpec high{"a", 100, 50};
  const LimitSpec low{"a", 5, 2};
  simulation.SetLimits({high});
  simulation.time.RunFor(kWarmUp);
  const base::TimePoint end = simulation.time.Now() + seconds(40);
  simulation.Load("a", 200, end, AnyHost(simulation));
  simulation.time.RunFor(seconds(10));
  simulation.SetLimits({low});
  const base::TimePoint lowered = simulation.time.Now() + milliseconds(200);
  simulation.time.RunFor(seconds(20));
  const base::TimePoint raised = simulation.time.Now() + milliseconds(200);
  EXPECT_LE(simulation.LargestWindow("a", lowered + seconds(5), raised),
            BoundOf(low));
  simulation.SetLimits({high});
  simulation.time.RunFor(milliseconds(1200));
  const auto& admitted = simulation.outcomes["a"].admitted;
  EXPECT_GE(std::count_if(admitted.begin(), admitted.end(),
                          [&](auto at) { return at > raised; }),
            70);
}

// Guards against quotas that nearly nobody can use in a long outage of the
// store, because each owner fears that another host has taken over.
TEST(QuotaChangesTest, LongOutagesOfTheStoreCostNothing) {
  for (const std::size_t hosts : {6U, 75U, 200U}) {
    QuotaSimulation simulation({.hosts = hosts});
    simulation.SetLimits({{"a", 20, 5}});
    simulation.time.RunFor(kWarmUp);
    simulation.Load("a", 30, simulation.time.Now() + seconds(80),
                    AnyHost(simulation));
    simulation.store_away = true;
    simulation.time.RunFor(seconds(40));
    const std::size_t before = simulation.outcomes["a"].admitted.size();
    simulation.time.RunFor(seconds(40));
    const std::size_t later = simulation.outcomes["a"].admitted.size() - before;
    EXPECT_GE(static_cast<double>(later), 0.9 * 20 * 40) << hosts;
  }
}

// Guards against two owners of one share: a host whose record is gone goes on
// granting in full as long as it renews its lease, and so does its successor
// (review case 7). Its callers lose a part of the quota for a moment only.
TEST(QuotaChangesTest, HostThatNobodySeesGivesUpItsShares) {
  const LimitSpec limit{"a", 100, 20};
  for (std::size_t lost = 0; lost < 6; ++lost) {
    QuotaSimulation simulation({.hosts = 6, .seed = lost + 1});
    simulation.SetLimits({limit});
    simulation.time.RunFor(kWarmUp);
    simulation.Load("a", 240, simulation.time.Now() + seconds(60),
                    AnyHost(simulation));
    simulation.time.RunFor(seconds(5));
    simulation.LoseRecord(*simulation.hosts[lost]);
    simulation.time.RunFor(seconds(40));
    EXPECT_LE(simulation.LargestWindow("a"), BoundOf(limit)) << lost;
    const std::size_t before = simulation.outcomes["a"].admitted.size();
    simulation.time.RunFor(seconds(10));
    const std::size_t later = simulation.outcomes["a"].admitted.size() - before;
    EXPECT_GE(static_cast<double>(later), 0.9 * limit.rate * 10) << lost;
  }
}

/// Claims more tokens than there are for `played`, while the store renews the
/// lease each second. Returns the tokens granted.
double ClaimFor(seconds played, base::ManualClock& clock, QuotaOwner& owner) {
  constexpr milliseconds step{100};
  double granted = 0;
  for (milliseconds passed{0}; passed < played; passed += step) {
    clock.Advance(step);
    if (passed.count() % 1000 == 0) owner.OnLeaseRenewed({.sent = clock.Now()});
    QuotaOwner::Actions actions;
    granted +=
        owner
            .OnClaim("h1", {.limit = "a", .region = "r0", .tokens = 1000},
                     actions)
            .tokens;
  }
  return granted;
}

// Guards against an owner that takes a renewed lease for the proof that other
// hosts see it (review case 7).
TEST(QuotaChangesTest, OwnerWithoutARecordGrantsLittleUntilItIsRegistered) {
  base::ManualClock clock;
  LimitOwners owners(clock, "h0", SimulatedLocation(0, 1));
  owners.SetHosts({{.name = "h0", .zone = "z0"}});
  const LimitSpec limit{"a", 100, 20};
  QuotaOwner owner(clock, owners, {});
  owner.SetLimits({limit});
  owner.OnLeaseRenewed({.sent = clock.Now(), .is_new = true});
  ClaimFor(kWarmUp, clock, owner);
  EXPECT_GE(ClaimFor(seconds(10), clock, owner), 0.95 * limit.rate * 10);
  owner.OnRegistrationLost();
  EXPECT_LE(ClaimFor(seconds(10), clock, owner), 0.1 * limit.rate * 10);
  // A new registration is that of a newcomer, since others may have taken over.
  owner.OnLeaseRenewed({.sent = clock.Now(), .is_new = true});
  EXPECT_LE(ClaimFor(seconds(10), clock, owner), 0.1 * limit.rate * 10);
  ClaimFor(kWarmUp, clock, owner);
  EXPECT_GE(ClaimFor(seconds(10), clock, owner), 0.95 * limit.rate * 10);
}

// Guards against callers that are all told to return at the same time.
TEST(QuotaChangesTest, RefusedCallersReturnOneAfterTheOther) {
  base::ManualClock clock;
  LimitOwners owners(clock, "h0", SimulatedLocation(0, 3));
  owners.SetHosts({{.name = "h3", .zone = "z0"}});
  QuotaClient client(clock, owners, {});
  QuotaClient::Actions actions;
  client.SetLimits({{"a", 10, 1}}, actions);
  client.OnRequest(1, "a", actions);
  const auto claim = std::get<SendClaim>(actions.at(0));
  client.OnGrant(claim.host, claim.claim, claim.claim.sent,
                 {.limit = "a",
                  .status = GrantStatus::kEmpty,
                  .retry_after = milliseconds(500)},
                 actions);
  for (std::uint64_t request = 2; request < 7; ++request)
    client.OnRequest(request, "a", actions);
  std::set<milliseconds> waits;
  for (const QuotaAction& action : actions)
    if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      EXPECT_TRUE(refusal->over_limit);
      waits.insert(refusal->retry_after);
    }
  EXPECT_EQ(waits.size(), 6U);
  EXPECT_GE(*waits.begin(), milliseconds(500));
  EXPECT_LE(*waits.rbegin(), milliseconds(5000));
}

}  // namespace
}  // namespace berylreach::forward
