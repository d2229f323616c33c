// Load pattern: leaves of many shards pause or shed calls at the same time
// while requests keep arriving. Runs in virtual time without a network.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

/// Runs requests one after the other against leaves that are each healthy,
/// paused or shedding calls.
class StragglersTest : public RunFixture {
 protected:
  StragglersTest() : RunFixture(20) { route_.minimum_coverage = 0.89; }

  enum class LeafState { kHealthy, kPaused, kShedding };

  struct Outcome {
    std::size_t complete = 0;
    std::size_t in_time = 0;
    std::size_t extra_calls = 0;
  };

  milliseconds LatencyOf(const LeafRecord& leaf) const {
    return leaf.region() == "ra" ? milliseconds(9) : milliseconds(49);
  }

  /// Starts one request every 40 ms; each reply comes after the leaf's latency.
  Outcome Simulate(int requests) {
    Outcome outcome;
    for (int i = 0; i < requests; ++i) {
      const base::TimePoint begin = clock_.Now();
      started_.clear();
      reply_.reset();
      StartRun(route_);
      std::size_t handled = 0;
      std::multimap<base::TimePoint, std::size_t> scheduled;
      while (!run_->finished()) {
        for (; handled < started_.size(); ++handled) {
          const StartLeafCall& call = started_[handled];
          const LeafState state = states_[call.leaf->entry().id];
          if (state == LeafState::kPaused) continue;
          const milliseconds wait = state == LeafState::kShedding
                                        ? milliseconds(2)
                                        : LatencyOf(*call.leaf);
          scheduled.emplace(call.sent + wait, handled);
        }
        const base::TimePoint wakeup = run_->NextWakeup();
        if (!scheduled.empty() && scheduled.begin()->first <= wakeup) {
          const auto [at, index] = *scheduled.begin();
          scheduled.erase(scheduled.begin());
          clock_.AdvanceTo(std::max(clock_.Now(), at));
          Answer(started_[index]);
        } else {
          clock_.AdvanceTo(std::max(clock_.Now(), wakeup));
          run_->Tick(actions_);
          CollectActions();
        }
      }
      outcome.complete +=
          reply_->refusal == Refusal::kNone && !reply_->missing_shards;
      outcome.in_time += reply_->refusal == Refusal::kNone &&
                         clock_.Now() - begin <= route_.objective;
      outcome.extra_calls += started_.size() - route_.shards.size();
      clock_.AdvanceTo(std::max(clock_.Now(), begin + milliseconds(40)));
    }
    return outcome;
  }

  void Answer(const StartLeafCall& call) {
    const bool shed = states_[call.leaf->entry().id] == LeafState::kShedding;
    call.leaf->OnCallEnded(call.sent, clock_.Now(),
                           shed ? CallOutcome::kShed : CallOutcome::kAnswered);
    run_->OnReply(
        call.call,
        shed ? Failure(503, /*not_run=*/true) : Success(std::string(16, 'x')),
        actions_);
    CollectActions();
  }

  std::map<std::string, LeafState> states_;
};

// Guards against requests that each call paused leaves first and then wait for
// a hedge.
TEST_F(StragglersTest, AvoidsPausedLeavesAfterTheFirstRequest) {
  Simulate(20);
  for (const char* id : {"s0-a", "s5-a", "s9-a"})
    states_[id] = LeafState::kPaused;
  const Outcome outcome = Simulate(50);
  EXPECT_EQ(outcome.complete, 50U);
  EXPECT_EQ(outcome.in_time, 50U);
  EXPECT_LE(outcome.extra_calls, 3U) << "one hedge per paused leaf";
}

// Guards against retries beyond the budget while leaves of all shards shed
// calls.
TEST_F(StragglersTest, SheddingOfManyLeavesStaysWithinTheBudget) {
  Simulate(20);
  for (const std::string& shard : route_.shards)
    states_[shard + "-a"] = LeafState::kShedding;
  const Outcome outcome = Simulate(100);
  // 0.9 x (0.2 x 120 requests + slack of 50) for each of 20 shards.
  EXPECT_LE(outcome.extra_calls, 67U * 20U);
  EXPECT_GE(outcome.in_time, 95U);
}

// Guards against answers that miss the objective because they wait for the few
// shards whose leaves are all paused.
TEST_F(StragglersTest, LossOfBothLeavesOfShardsGivesPartialAnswersInTime) {
  Simulate(20);
  for (const char* id : {"s0-a", "s0-b", "s7-a", "s7-b"})
    states_[id] = LeafState::kPaused;
  const Outcome outcome = Simulate(30);
  EXPECT_EQ(outcome.complete, 0U);
  EXPECT_EQ(outcome.in_time, 30U);
}

}  // namespace
}  // namespace berylreach::forward
