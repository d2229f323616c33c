// Guards against hosts that together send a leaf more calls than the limit that
// it has stated for all of them (LIMIT incident).
#include "berylreach/forward/leaf_rate_limit.h"

#include <gtest/gtest.h>

#include <deque>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

using std::chrono::seconds;

constexpr milliseconds kStep{100};
/// What the platform allows in any window: one and a half times the limit and 5
/// calls.
constexpr seconds kWindow{4};

/// A host as far as it decides on calls to one leaf.
struct Host {
  Host(const base::Clock& clock, const Location& location)
      : shares(clock),
        limit(shares),
        leaf({.id = "leaf", .service = "s", .address = "1", .zone = "za"},
             location.DistanceOf("za"), "ra", clock.Now()) {}

  ServiceShares shares;
  LeafRateLimit limit;
  LeafRecord leaf;
};

/// Hosts in three regions; the leaf is in the first one.
class Fleet {
 public:
  explicit Fleet(std::size_t hosts) {
    clock_.Advance(std::chrono::hours(1));
    const std::vector<std::string> zones = {"za", "zb", "zc"};
    std::vector<HostEntry> entries;
    for (std::size_t i = 0; i < hosts; ++i)
      entries.push_back({.name = "h" + std::to_string(i),
                         .address = "1",
                         .zone = zones[i % zones.size()]});
    for (const HostEntry& entry : entries) {
      const Location location{
          .zone = entry.zone,
          .region = "r" + entry.zone.substr(1),
          .region_of_zone = {{"za", "ra"}, {"zb", "rb"}, {"zc", "rc"}}};
      hosts_.push_back(std::make_unique<Host>(clock_, location));
      hosts_.back()->limit.SetHosts(entry.name, location, entries);
    }
  }

  void StateLimit(std::optional<double> rate) {
    for (const auto& host : hosts_) host->leaf.SetRateLimit(rate);
  }

  /// Lets the host call the leaf if its share permits it.
  bool TryCall(std::size_t host) {
    Host& caller = *hosts_[host];
    if (caller.limit.MayCallAt(caller.leaf, clock_.Now()) > clock_.Now())
      return false;
    caller.limit.OnCall(caller.leaf, clock_.Now());
    calls_.push_back(clock_.Now());
    return true;
  }

  /// All hosts call as often as their shares permit. Returns the most calls in
  /// one window.
  std::size_t PressFor(seconds duration) {
    std::size_t most = 0;
    const base::TimePoint end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      for (std::size_t host = 0; host < hosts_.size(); ++host)
        while (TryCall(host)) continue;
      while (!calls_.empty() && calls_.front() <= clock_.Now() - kWindow)
        calls_.pop_front();
      most = std::max(most, calls_.size());
      clock_.Advance(kStep);
    }
    return most;
  }

  base::ManualClock& clock() { return clock_; }
  std::size_t size() const { return hosts_.size(); }

 private:
  base::ManualClock clock_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::deque<base::TimePoint> calls_;
};

double AllowedInWindow(double rate) {
  return 1.5 * rate * static_cast<double>(kWindow.count()) + 5;
}

class LimitedFleetTest : public testing::TestWithParam<int> {};

// Guards against a sum of shares above the limit at any size of the fleet, also
// when all hosts have been idle and then call at once.
TEST_P(LimitedFleetTest, HostsTogetherStayWithinTheLimit) {
  for (const double rate : {0.0, 0.5, 4.0, 18.0, 60.0}) {
    Fleet fleet(static_cast<std::size_t>(GetParam()));
    fleet.StateLimit(rate);
    EXPECT_LE(static_cast<double>(fleet.PressFor(seconds(8))),
              AllowedInWindow(rate))
        << rate;
    fleet.clock().Advance(seconds(60));
    EXPECT_LE(static_cast<double>(fleet.PressFor(seconds(8))),
              AllowedInWindow(rate))
        << rate;
  }
}

// Guards against hosts that leave most of a limit unused while all have calls.
TEST_P(LimitedFleetTest, HostsTogetherUseTheLimit) {
  constexpr double rate = 18;
  constexpr seconds duration{12};
  Fleet fleet(static_cast<std::size_t>(GetParam()));
  fleet.StateLimit(rate);
  fleet.PressFor(duration);
  const auto calls = static_cast<double>(fleet.PressFor(duration));
  EXPECT_GE(calls, 0.9 * rate * static_cast<double>(kWindow.count()));
}

// Guards against a limit that falls while the shares of the former one are
// still unused.
TEST_P(LimitedFleetTest, FallingLimitAppliesAtOnce) {
  Fleet fleet(static_cast<std::size_t>(GetParam()));
  fleet.StateLimit(40);
  fleet.clock().Advance(seconds(60));
  fleet.StateLimit(10);
  EXPECT_LE(static_cast<double>(fleet.PressFor(seconds(8))),
            AllowedInWindow(10));
}

INSTANTIATE_TEST_SUITE_P(Hosts, LimitedFleetTest,
                         testing::Values(1, 6, 200, 2400));

// Guards against equal shares for hosts of all regions: hosts call the leaves
// of their own region, so these would be refused while most of the limit is
// unused.
TEST(LeafRateLimitTest, HostsOfTheLeafsRegionGetTheLargerShares) {
  Fleet fleet(6);
  fleet.StateLimit(18);
  constexpr std::size_t local_hosts = 2;
  constexpr milliseconds spacing{200};
  int refused = 0;
  for (milliseconds time{0}; time < seconds(20); time += spacing) {
    for (std::size_t host = 0; host < local_hosts; ++host)
      if (!fleet.TryCall(3 * host)) ++refused;
    fleet.clock().Advance(spacing);
  }
  EXPECT_EQ(refused, 0) << "5 calls a second from each of two hosts";
}

// Guards against hosts without an allowance that never notice that a limit has
// ended.
TEST(LeafRateLimitTest, EachHostTriesAgainInTime) {
  Fleet fleet(200);
  fleet.StateLimit(18);
  std::vector<bool> called(fleet.size());
  constexpr seconds most{400};
  for (seconds time{0}; time < most; ++time) {
    for (std::size_t host = 0; host < fleet.size(); ++host)
      if (fleet.TryCall(host)) called[host] = true;
    fleet.clock().Advance(seconds(1));
  }
  EXPECT_TRUE(std::all_of(called.begin(), called.end(),
                          [](bool has_called) { return has_called; }));
  fleet.StateLimit(std::nullopt);
  for (std::size_t host = 0; host < fleet.size(); ++host)
    EXPECT_TRUE(fleet.TryCall(host));
}

/// Requests of one host while leaves state limits.
class LimitedLeavesTest : public RunFixture {
 protected:
  LimitedLeavesTest() {
    rate_.SetHosts("host",
                   {.zone = "a",
                    .region = "ra",
                    .region_of_zone = {{"a", "ra"}, {"b", "rb"}}},
                   {{.name = "host", .address = "1", .zone = "a"},
                    {.name = "other", .address = "1", .zone = "b"}});
  }

  void Limit(const std::string& leaf, double rate) {
    directory_.SetRateLimit(*directory_.Find(leaf), rate);
  }

  /// Uses up this host's share of the leaf's limit.
  void Exhaust(const std::string& leaf) {
    LeafRecord& record = *directory_.Find(leaf);
    while (rate_.MayCallAt(record, clock_.Now()) <= clock_.Now())
      rate_.OnCall(record, clock_.Now());
  }
};

TEST_F(LimitedLeavesTest, OtherLeafTakesTheCallsBeyondTheLimit) {
  Limit("f-a", 2);
  Exhaust("f-a");
  StartRun(single_leaf_route_);
  ASSERT_EQ(started_.size(), 1U);
  EXPECT_EQ(started_[0].leaf->entry().id, "f-b");
}

// Guards against a request that waits although no leaf may be called, and
// against a refusal that sends the caller back too early.
TEST_F(LimitedLeavesTest, RefusesAtOnceWhenAllLimitsAreUsedUp) {
  for (const char* leaf : {"f-a", "f-b"}) {
    Limit(leaf, 0.5);
    Exhaust(leaf);
  }
  StartRun(single_leaf_route_);
  EXPECT_TRUE(started_.empty());
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNotRun);
  EXPECT_GE(clock_.Now() + reply_->retry_after,
            std::min(rate_.MayCallAt(*directory_.Find("f-a"), clock_.Now()),
                     rate_.MayCallAt(*directory_.Find("f-b"), clock_.Now())));
}

// Guards against a scattered request that waits for a shard whose leaves may
// not be called.
TEST_F(LimitedLeavesTest, ShardWhoseLimitsAreUsedUpIsMissingAtOnce) {
  for (const char* leaf : {"s0-a", "s0-b"}) {
    Limit(leaf, 0.5);
    Exhaust(leaf);
  }
  StartRun(route_);
  ASSERT_EQ(started_.size(), 3U);
  for (const StartLeafCall& call : std::vector(started_))
    Reply(call, Success("0123456789abcdef"));
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->refusal, Refusal::kNone);
  EXPECT_EQ(reply_->missing_shards, 1U);
}

// Guards against retries that are not counted.
TEST_F(LimitedLeavesTest, CallsOfRequestsUseTheLimit) {
  Limit("f-a", 2);
  Limit("f-b", 2);
  std::size_t served = 0;
  while (served < 100) {
    reply_.reset();
    StartRun(single_leaf_route_);
    if (reply_) break;
    ++served;
  }
  EXPECT_LT(served, 20U);
}

// Guards against a limit that is forgotten because discovery lists the leaf
// again.
TEST_F(LimitedLeavesTest, LimitOutlivesRelisting) {
  Limit("f-a", 2);
  directory_.Remove("f-a");
  PutLeaf("f-a", "fetch", "a");
  EXPECT_EQ(directory_.Find("f-a")->rate_limit(), 2);
}

}  // namespace
}  // namespace berylreach::forward
