// Guards against a leaf that gets hardly any calls after it has refused a few,
// so that its capacity is missing. In virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::size_t kSlots = 4;
constexpr milliseconds kServiceTime{4};
/// Number of calls that the leaf refuses at first.
constexpr int kRefusals = 3;
constexpr microseconds kStep{100};

struct Load {
  /// Fraction of all slots that are busy.
  double busy = 0;
  /// The pause that the leaf asks for when it refuses a call, if any.
  std::optional<milliseconds> pause;
};

/// Calls to two leaves of a service, one of which refuses its first calls.
class ShedLeafTest : public RunFixture,
                     public testing::WithParamInterface<Load> {
 protected:
  ShedLeafTest() : RunFixture(0) {
    for (const char* id : {"shedding", "sibling"})
      directory_.Put({.id = id,
                      .service = "pair",
                      .address = "127.0.0.1:1",
                      .zone = "a",
                      .slots = kSlots});
  }

  /// Sends calls at a steady rate for `duration`, each to the leaf that is
  /// chosen for it.
  void RunFor(base::Duration duration) {
    const auto interval = std::chrono::duration_cast<base::Duration>(
        kServiceTime / (2 * kSlots * GetParam().busy));
    const base::TimePoint end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      clock_.Advance(kStep);
      const base::TimePoint now = clock_.Now();
      while (!running_.empty() && running_.begin()->first <= now) {
        const auto call = running_.extract(running_.begin()).mapped();
        call.leaf->OnCallEnded(call.sent, now, CallOutcome::kAnswered);
      }
      for (; next_call_ <= now; next_call_ += interval) Send(now);
    }
  }

  /// Sets the greatest deviation of a service time from the mean, as a
  /// fraction.
  void SetServiceTimeSpread(double spread) { service_time_spread_ = spread; }

  void Send(base::TimePoint now) {
    std::vector<std::string> tried;
    while (const auto leaf =
               selector_.Choose({.service = &service_,
                                 .tried = &tried,
                                 .seed = random_(),
                                 .may_be_trial = tried.empty()})) {
      selector_.OnSent(*leaf, now);
      const std::string& id = leaf->entry().id;
      ++arrivals_[id];
      if (id == "sibling" || refused_ == kRefusals) {
        Run(leaf, now);
        return;
      }
      ++refused_;
      leaf->OnCallEnded(now, now, CallOutcome::kShed);
      if (GetParam().pause) directory_.Pause(*leaf, now + *GetParam().pause);
      tried.push_back(id);
    }
    ++unserved_;
  }

  /// Runs a call in the slot of the leaf that is free first.
  void Run(const std::shared_ptr<LeafRecord>& leaf, base::TimePoint now) {
    std::vector<base::TimePoint>& slots = free_at_[leaf->entry().id];
    slots.resize(kSlots);
    auto slot = std::min_element(slots.begin(), slots.end());
    const double factor = std::uniform_real_distribution<>(
        1 - service_time_spread_, 1 + service_time_spread_)(random_);
    *slot = std::max(*slot, now) +
            std::chrono::duration_cast<base::Duration>(kServiceTime * factor);
    running_.emplace(*slot, Call{leaf, now});
  }

  struct Call {
    std::shared_ptr<LeafRecord> leaf;
    base::TimePoint sent{};
  };

  const Service service_{.name = "pair", .max_connections = 100};
  std::mt19937 random_{1};
  std::map<std::string, std::vector<base::TimePoint>> free_at_;
  std::multimap<base::TimePoint, Call> running_;
  base::TimePoint next_call_ = clock_.Now();
  std::map<std::string, int> arrivals_;
  double service_time_spread_ = 0;
  int refused_ = 0;
  int unserved_ = 0;
};

TEST_P(ShedLeafTest, GetsItsShareAgain) {
  RunFor(seconds(5));
  ASSERT_GT(refused_, 0);
  RunFor(seconds(5));
  EXPECT_EQ(refused_, kRefusals) << "it is tried again after each refusal";
  arrivals_.clear();
  RunFor(seconds(20));
  EXPECT_NEAR(arrivals_["shedding"], arrivals_["sibling"],
              0.1 * arrivals_["sibling"]);
  // The sibling serves all calls meanwhile, if it has the slots.
  if (GetParam().busy <= 0.5) {
    EXPECT_EQ(unserved_, 0);
  }
}

// Guards against a leaf that is not called any more because a few of its
// answers were slow: without calls, nothing would correct the estimate.
TEST_P(ShedLeafTest, IsTriedAgainAfterAnAnswerThatWasSlowByChance) {
  SetServiceTimeSpread(0.25);
  RunFor(seconds(10));
  for (int i = 0; i < 10; ++i) {
    arrivals_.clear();
    RunFor(seconds(2));
    EXPECT_GT(arrivals_["shedding"], 0);
    EXPECT_GT(arrivals_["sibling"], 0);
  }
}

INSTANTIATE_TEST_SUITE_P(LowLoad, ShedLeafTest,
                         testing::Values(Load{0.05, milliseconds(200)},
                                         Load{0.05, {}}));

INSTANTIATE_TEST_SUITE_P(HalfLoad, ShedLeafTest,
                         testing::Values(Load{0.5, milliseconds(200)},
                                         Load{0.5, {}}));

INSTANTIATE_TEST_SUITE_P(FullLoad, ShedLeafTest,
                         testing::Values(Load{0.95, milliseconds(200)},
                                         Load{0.95, {}}));

}  // namespace
}  // namespace berylreach::forward
