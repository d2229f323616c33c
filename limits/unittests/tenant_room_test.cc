// Guards against tenants that take the capacity of others on an overloaded
// host, and against capacity that stays unused meanwhile.
#include "berylreach/limits/tenant_room.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <queue>
#include <random>

#include "berylreach/base/manual_clock.h"
#include "berylreach/limits/admission.h"

namespace berylreach::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(MaxMinShareTest, LeavesWhatSmallDemandsDoNotNeedToTheOthers) {
  EXPECT_EQ(MaxMinShare(100, {}), 100U);
  EXPECT_EQ(MaxMinShare(100, {10}), 90U);
  EXPECT_EQ(MaxMinShare(100, {1000}), 50U);
  EXPECT_EQ(MaxMinShare(100, {10, 1000}), 45U);
  EXPECT_EQ(MaxMinShare(100, {30, 35, 1000}), 25U);
  EXPECT_EQ(MaxMinShare(2, {1000, 1000, 1000}), 0U);
}

/// Callers of tenants at one host whose requests each take the same time.
class Load {
 public:
  struct Counts {
    int sent = 0;
    int answered = 0;
    double served() const {
      return static_cast<double>(answered) / std::max(1, sent);
    }
  };

  /// A tenant sends `per_second` requests. With `returns`, each refused one
  /// is sent again after the time that the refusal stated.
  struct Sender {
    std::string tenant;
    int per_second = 1;
    std::uint32_t priority = 1;
    bool returns = false;
    /// Sends at random times instead of evenly.
    bool at_random = false;
  };

  Load(AdmissionOptions options, milliseconds service_time)
      : admission_(clock_, options), service_time_(service_time) {}

  void Run(const std::vector<Sender>& senders, seconds duration) {
    const base::TimePoint begin = clock_.Now();
    for (; clock_.Now() < begin + duration; clock_.Advance(milliseconds(1))) {
      const auto elapsed = (clock_.Now() - begin) / milliseconds(1);
      EndDueRequests();
      for (auto due = returns_.begin();
           due != returns_.end() && due->first <= clock_.Now();
           due = returns_.erase(due))
        Send(*due->second);
      for (std::size_t i = 0; i < senders.size(); ++i) {
        // The offset spreads the tenants over time.
        const auto sent_until = [&](std::int64_t at) {
          return (at * senders[i].per_second +
                  137 * static_cast<std::int64_t>(i)) /
                 1000;
        };
        auto due = sent_until(elapsed + 1) - sent_until(elapsed);
        if (senders[i].at_random)
          due = std::poisson_distribution<int>(senders[i].per_second /
                                               1000.0)(random_);
        for (; due > 0; --due) {
          ++counts_[senders[i].tenant].sent;
          Send(senders[i]);
        }
      }
      most_in_flight_ = std::max(most_in_flight_, admission_.requests());
    }
  }

  const Counts& Of(const std::string& tenant) { return counts_[tenant]; }
  std::size_t most_in_flight() const { return most_in_flight_; }

 private:
  void Send(const Sender& sender) {
    const auto decision = admission_.Admit(sender.priority, 1, sender.tenant);
    if (decision.admitted) {
      running_.push({clock_.Now() + service_time_, sender.tenant});
      ++counts_[sender.tenant].answered;
    } else if (sender.returns) {
      returns_.emplace(clock_.Now() + decision.retry_after, &sender);
    }
  }

  void EndDueRequests() {
    while (!running_.empty() && running_.front().first <= clock_.Now()) {
      admission_.OnRequestDone(1, running_.front().second);
      running_.pop();
    }
  }

  base::ManualClock clock_;
  Admission admission_;
  std::mt19937 random_{1};
  milliseconds service_time_;
  std::queue<std::pair<base::TimePoint, std::string>> running_;
  std::multimap<base::TimePoint, const Sender*> returns_;
  std::map<std::string, Counts> counts_;
  std::size_t most_in_flight_ = 0;
};

std::vector<Load::Sender> ManySmall(int count, int per_second) {
  std::vector<Load::Sender> senders;
  for (int i = 0; i < count; ++i)
    senders.push_back({"small" + std::to_string(i), per_second});
  return senders;
}

// Load: 20 tenants of 10 requests per second and one of 750, at a host that can
// run 400 per second.
TEST(TenantRoomTest, OneHotTenantTakesNothingFromManySmallOnes) {
  Load load({.max_requests = 89, .max_leaf_calls = 10'000}, milliseconds(200));
  auto senders = ManySmall(20, 10);
  senders.push_back({"hot", 750});
  load.Run(senders, seconds(20));
  for (int i = 0; i < 20; ++i)
    EXPECT_GE(load.Of("small" + std::to_string(i)).served(), 0.97) << i;
  EXPECT_GE(load.Of("hot").answered, 20 * 110)
      << "the hot tenant gets what the others leave";
}

// Load: a hot tenant that sends all its requests to one host, and others of
// which one sends a single request every 3 s, as at one of many hosts. Their
// demand is not known before they send.
TEST(TenantRoomTest, TenantsThatSendRarelyFindRoom) {
  Load load({.max_requests = 30, .max_leaf_calls = 700}, milliseconds(200));
  int served = 0;
  for (int i = 0; i < 80; ++i) {
    const std::string name = "rare" + std::to_string(i);
    load.Run({{"hot", 300}}, seconds(2));
    load.Run({{"hot", 300}, {name, 1}}, seconds(1));
    served += load.Of(name).answered;
  }
  EXPECT_GE(served, 78);
}

// Load: two tenants that each ask for more than the host has, one ten times as
// much as the other.
TEST(TenantRoomTest, HotTenantsGetEqualParts) {
  Load load({.max_requests = 100, .max_leaf_calls = 10'000}, milliseconds(100));
  load.Run({{"large", 5000}, {"larger", 50'000}}, seconds(10));
  const double ratio = static_cast<double>(load.Of("larger").answered) /
                       load.Of("large").answered;
  EXPECT_GT(ratio, 0.8);
  EXPECT_LT(ratio, 1.25);
}

// Load: a hot tenant of the most urgent priority, and small ones of the least
// urgent, which may use half of the host.
TEST(TenantRoomTest, UrgentHotTenantLeavesTheLessUrgentTheirShare) {
  Load load({.max_requests = 100, .max_leaf_calls = 10'000}, milliseconds(100));
  auto senders = ManySmall(10, 10);
  for (Load::Sender& sender : senders) sender.priority = 5;
  senders.push_back({"hot", 5000, 0});
  load.Run(senders, seconds(10));
  for (int i = 0; i < 10; ++i)
    EXPECT_GE(load.Of("small" + std::to_string(i)).served(), 0.9) << i;
}

// Load: a hot tenant whose refused callers all come back when they were told
// to. Their return must not push out the others either.
TEST(TenantRoomTest, ReturnsAfterRefusalsTakeNothingFromOthers) {
  Load load({.max_requests = 89, .max_leaf_calls = 10'000}, milliseconds(200));
  std::vector<Load::Sender> senders = ManySmall(20, 10);
  senders.push_back({"hot", 400, 1, true});
  load.Run(senders, seconds(10));
  for (int i = 0; i < 20; ++i)
    EXPECT_GE(load.Of("small" + std::to_string(i)).served(), 0.97) << i;
}

// Load: 60 tenants that send 2 to 18 requests per second at random times, 600
// in all, at a host that can run 300, and one of them sends 7.5 times its
// usual.
TEST(TenantRoomTest, NobodyIsServedLessThanAQuarterAsOftenAsAll) {
  Load load({.max_requests = 60, .max_leaf_calls = 10'000}, milliseconds(200));
  std::vector<Load::Sender> senders;
  for (int i = 0; i < 60; ++i)
    senders.push_back({"t" + std::to_string(i), 2 + i % 17, 0, false, true});
  senders[16].per_second = 135;
  load.Run(senders, seconds(60));
  Load::Counts all;
  for (const Load::Sender& sender : senders) {
    all.sent += load.Of(sender.tenant).sent;
    all.answered += load.Of(sender.tenant).answered;
  }
  for (const Load::Sender& sender : senders) {
    if (sender.per_second == 135) continue;
    EXPECT_GE(load.Of(sender.tenant).served(), all.served() / 4)
        << sender.tenant;
    EXPECT_GE(load.Of(sender.tenant).served(), load.Of("t16").served());
  }
}

// Guards against idle capacity: a tenant that is alone is bounded only by the
// part that is left to tenants that were not active.
TEST(TenantRoomTest, SingleTenantMayUseMostOfTheHost) {
  Load load({.max_requests = 100, .max_leaf_calls = 10'000}, milliseconds(100));
  load.Run({{"hot", 5000, 0}}, seconds(2));
  EXPECT_EQ(load.most_in_flight(), 88U);
}

// Guards against a tenant with large requests that holds all leaf calls while
// few requests are in flight.
TEST(TenantRoomTest, LeafCallsAreDividedToo) {
  base::ManualClock clock;
  Admission admission(clock, {.max_requests = 1000, .max_leaf_calls = 800});
  ASSERT_TRUE(admission.Admit(0, 1, "small").admitted);
  std::size_t calls = 0;
  while (admission.Admit(0, 90, "large").admitted) calls += 90;
  EXPECT_LE(calls, 700U);
  EXPECT_GE(calls, 500U);
  EXPECT_TRUE(admission.Admit(0, 90, "small").admitted);
}

// Guards against memory that grows with every tenant ever seen.
TEST(TenantRoomTest, TenantsThatHoldNothingAreForgotten) {
  base::ManualClock clock;
  TenantRoom room(clock);
  for (int i = 0; i < 1000; ++i) room.OnRequest(std::to_string(i), 0);
  clock.Advance(seconds(2));
  room.OnRequest("a", 0);
  EXPECT_EQ(room.size(), 1U);
}

// Guards against any change for requests without tenants: the decisions and
// retry times are those that Admission took before it knew tenants.
TEST(TenantRoomTest, RequestsWithoutTenantsAreNotLimited) {
  base::ManualClock clock;
  Admission admission(clock, {.max_requests = 100, .max_leaf_calls = 10'000});
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(admission.Admit(0, 1).admitted);
  EXPECT_FALSE(admission.Admit(0, 1).admitted);
}

}  // namespace
}  // namespace berylreach::limits
