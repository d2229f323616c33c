// Load pattern: each shard has only one leaf, and some of these leaves are too
// slow to serve all requests. Runs in virtual time without a network.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

#include "run_fixture.h"

namespace berylreach::forward {
namespace {

class OverloadedShardsTest : public RunFixture {
 protected:
  static constexpr std::size_t kShards = 20;
  static constexpr std::size_t kSlots = 2;

  OverloadedShardsTest() : RunFixture(kShards) {
    route_.objective = milliseconds(250);
    route_.minimum_coverage = 0.9;
    for (std::size_t i = 0; i < kShards; ++i)
      directory_.Remove("s" + std::to_string(i) + "-b");
  }

  /// Load of a simulated leaf: its running calls and its queue.
  struct Leaf {
    std::size_t running_calls = 0;
    std::deque<std::function<void()>> waiting;
  };

  struct RunningRequest {
    std::unique_ptr<RequestRun> run;
    base::TimePoint begin;
  };

  milliseconds ServiceTime(const std::string& leaf) const {
    return slow_.contains(leaf) ? milliseconds(90) : milliseconds(8);
  }

  void Schedule(base::TimePoint time, std::function<void()> callback) {
    events_.emplace(time, std::move(callback));
  }

  void RunOnLeaf(const std::string& leaf, std::function<void()> done) {
    Leaf& load = leaves_[leaf];
    if (load.running_calls == kSlots) {
      load.waiting.push_back(std::move(done));
      return;
    }
    ++load.running_calls;
    Schedule(clock_.Now() + ServiceTime(leaf),
             [this, leaf, done = std::move(done)] {
               Leaf& ended = leaves_[leaf];
               --ended.running_calls;
               done();
               if (ended.waiting.empty()) return;
               auto next = std::move(ended.waiting.front());
               ended.waiting.pop_front();
               RunOnLeaf(leaf, std::move(next));
             });
  }

  void Execute(std::size_t id, std::vector<RunAction> actions) {
    for (RunAction& action : actions) {
      if (const auto* call = std::get_if<StartLeafCall>(&action)) {
        RunOnLeaf(call->leaf->entry().id, [this, id, sent = *call] {
          sent.leaf->OnCallEnded(sent.sent, clock_.Now(),
                                 CallOutcome::kAnswered);
          std::vector<RunAction> next;
          running_[id].run->OnReply(sent.call, Success(std::string(16, 'a')),
                                    next);
          Execute(id, std::move(next));
        });
      } else if (const auto* end = std::get_if<FinishRequest>(&action)) {
        const auto took = clock_.Now() - running_[id].begin;
        if (end->reply.refusal == Refusal::kNone && took <= route_.objective)
          ++in_time_;
      }
    }
    if (!running_[id].run->finished())
      Schedule(running_[id].run->NextWakeup(), [this, id] { Tick(id); });
  }

  void Tick(std::size_t id) {
    RequestRun& run = *running_[id].run;
    if (run.finished() || clock_.Now() < run.NextWakeup()) return;
    std::vector<RunAction> actions;
    run.Tick(actions);
    Execute(id, std::move(actions));
  }

  /// Starts requests at even intervals; returns the fraction that is answered
  /// within the objective.
  double Simulate(std::size_t requests, milliseconds interval) {
    const base::TimePoint begin = clock_.Now();
    for (std::size_t id = 0; id < requests; ++id) {
      Schedule(begin + id * interval, [this, id] {
        MakeRun(route_);
        running_[id] = {std::move(run_), clock_.Now()};
        std::vector<RunAction> actions;
        running_[id].run->Start(actions);
        Execute(id, std::move(actions));
      });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      clock_.AdvanceTo(std::max(clock_.Now(), next->first));
      const auto callback = std::move(next->second);
      events_.erase(next);
      callback();
    }
    return static_cast<double>(in_time_) / static_cast<double>(requests);
  }

  std::set<std::string> slow_;
  std::map<std::string, Leaf> leaves_;
  std::map<std::size_t, RunningRequest> running_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
  std::size_t in_time_ = 0;
};

// Guards against requests that all wait in the queues of the same slow leaves,
// although each answer may lack the shards of two of these leaves.
TEST_F(OverloadedShardsTest, RequestsShareTheCapacityOfSlowLeaves) {
  // Each slow leaf completes 22 calls per second. 48 requests per second, whose
  // answers may each lack two shards, need one call to the three slow leaves
  // per request.
  slow_ = {"s3-a", "s8-a", "s15-a"};
  EXPECT_GE(Simulate(480, milliseconds(21)), 0.9);
}

// Guards against shards that are left out although their leaves are healthy.
TEST_F(OverloadedShardsTest, HealthyLeavesAreAllCalled) {
  EXPECT_EQ(Simulate(200, milliseconds(21)), 1.0);
  for (const auto& [id, running] : running_)
    EXPECT_EQ(running.run->answered(), kShards) << id;
}

}  // namespace
}  // namespace berylreach::forward
