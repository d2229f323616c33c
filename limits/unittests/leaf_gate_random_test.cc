// Guards against a leaf that gets more calls than its limit and against calls
// without a reply, under random load with fixed seeds.
#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <unordered_map>
#include <variant>

#include "berylreach/base/manual_clock.h"
#include "berylreach/limits/leaf_gate.h"

namespace berylreach::limits {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

/// Sends random calls and results to one gate. Each start must stay within the
/// limit, and each call must get exactly one reply.
TEST(LeafGateRandomTest, RandomLoadNeverExceedsTheLimitAndAnswersOnce) {
  base::ManualClock clock;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LeafGate gate(clock, model::LeafName{"leaf"}, 3);
    Actions out;
    std::unordered_map<model::CallId, int> replies;
    // For each started call, the time until which the leaf may be running it.
    std::unordered_map<model::CallId, base::TimePoint> at_leaf;
    std::unordered_map<model::CallId, bool> unanswered;
    bool cold = true;
    std::uint64_t cold_resets = 0;
    std::uint64_t incarnation = 1;
    const auto check_actions = [&] {
      for (const Action& action : out) {
        if (const auto* start = std::get_if<StartCall>(&action)) {
          std::erase_if(at_leaf, [&](const auto& entry) {
            return entry.second <= clock.Now();
          });
          at_leaf[start->call.id] = start->not_after;
          ASSERT_LE(at_leaf.size(), cold ? 1U : 3U) << "seed " << seed;
        } else if (const auto* reply = std::get_if<Reply>(&action)) {
          ++replies[reply->reply.id];
        }
      }
      out.clear();
    };
    gate.SetOpen(true, out);
    for (std::uint64_t i = 1; i <= 3000; ++i) {
      clock.Advance(milliseconds(random() % 5));
      if (i % 10 == 1)
        gate.SetLeaseExpiry(clock.Now() + milliseconds(1500), out);
      if (random() % 500 == 0) ++incarnation;
      if (random() % 2 == 0) {
        model::LeafCall call;
        call.id = {1, i};
        call.priority = random() % 3;
        call.budget = milliseconds(20 + random() % 400);
        call.exclusive = random() % 50 == 0;
        replies[call.id] = 0;
        gate.OnCall(call, out);
      } else if (!at_leaf.empty()) {
        auto entry = at_leaf.begin();
        std::advance(entry, random() % at_leaf.size());
        model::UpstreamResult result;
        result.id = entry->first;
        const bool lost = random() % 20 == 0;
        result.outcome = lost ? LeafOutcome::kTimedOut : LeafOutcome::kOk;
        result.incarnation = lost ? 0 : incarnation;
        if (!lost && !unanswered[result.id]) at_leaf.erase(entry);
        if (lost) unanswered[result.id] = true;
        if (!unanswered[result.id] || lost) gate.OnResult(result, out);
      } else {
        gate.Tick(out);
      }
      if (gate.counters().cold_resets != cold_resets) {
        cold_resets = gate.counters().cold_resets;
        cold = true;
        ASSERT_EQ(gate.limit(), 1U);
      }
      cold = gate.cold();
      check_actions();
    }
    clock.Advance(std::chrono::seconds(10));
    gate.Tick(out);
    check_actions();
    for (const auto& [id, count] : replies)
      ASSERT_EQ(count, 1) << "seed " << seed << " call " << id.counter;
    EXPECT_GT(gate.counters().completed, 100U);
    EXPECT_GT(gate.counters().cold_resets, 1U);
  }
}

}  // namespace
}  // namespace berylreach::limits
