// Guards against copies of one unproven request that run on a leaf at the same
// time, and against copies that run after the first one crashed the leaf.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/limits/leaf_gate.h"

namespace berylreach::limits {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 3;

class LeafGateCanaryTest : public testing::Test {
 protected:
  LeafGateCanaryTest() {
    gate_.SetLeaseExpiry(clock_.Now() + std::chrono::hours(1), out_);
    gate_.SetOpen(true, out_);
    while (gate_.limit() < kSlots) {
      const auto id = Call(0);
      clock_.Advance(milliseconds(10));
      Result(id, LeafOutcome::kOk);
    }
    out_.clear();
  }

  model::CallId Call(std::uint64_t fingerprint, bool canary = false,
                     bool no_wait = false,
                     milliseconds budget = milliseconds(1000)) {
    model::LeafCall call;
    call.id = {1, ++next_};
    call.budget = budget;
    call.fingerprint = fingerprint;
    call.canary = canary;
    call.no_wait = no_wait;
    gate_.OnCall(call, out_);
    return call.id;
  }
  model::CallId Canary(std::uint64_t fingerprint) {
    return Call(fingerprint, true);
  }

  void Result(const model::CallId& id, LeafOutcome outcome) {
    model::UpstreamResult result;
    result.id = id;
    result.outcome = outcome;
    gate_.OnResult(result, out_);
  }

  bool Started(const model::CallId& id) const {
    return std::any_of(out_.begin(), out_.end(), [&](const Action& action) {
      const auto* start = std::get_if<StartCall>(&action);
      return start != nullptr && start->call.id == id;
    });
  }

  std::optional<LeafOutcome> Reply(const model::CallId& id) const {
    for (const Action& action : out_) {
      const auto* reply = std::get_if<limits::Reply>(&action);
      if (reply != nullptr && reply->reply.id == id)
        return reply->reply.outcome;
    }
    return std::nullopt;
  }

  base::ManualClock clock_;
  LeafGate gate_{clock_, {"leaf"}, kSlots};
  Actions out_;
  std::uint64_t next_ = 0;
};

TEST_F(LeafGateCanaryTest, CanariesOfOneFingerprintRunOneAtATime) {
  const auto first = Canary(1);
  const auto second = Canary(1);
  const auto third = Canary(1);
  EXPECT_TRUE(Started(first));
  EXPECT_FALSE(Started(second));
  Result(first, LeafOutcome::kShed);
  EXPECT_TRUE(Started(second));
  EXPECT_FALSE(Started(third));
}

TEST_F(LeafGateCanaryTest, WaitingCanaryDoesNotDelayOtherCalls) {
  Canary(1);
  Canary(1);
  EXPECT_TRUE(Started(Canary(2)));
  EXPECT_TRUE(Started(Call(3)));
}

TEST_F(LeafGateCanaryTest, FirstSuccessStartsTheOtherCanaries) {
  const auto first = Canary(1);
  const auto second = Canary(1);
  const auto third = Canary(1);
  Result(first, LeafOutcome::kOk);
  EXPECT_TRUE(Started(second));
  EXPECT_TRUE(Started(third));
}

TEST_F(LeafGateCanaryTest, SuspectCanariesAreRefusedAndNeverStart) {
  Canary(1);
  const auto second = Canary(1);
  Canary(2);
  const auto other = Canary(2);
  const auto third = Canary(1);
  gate_.RefuseCanaries(
      [](std::uint64_t fingerprint) -> std::optional<LeafOutcome> {
        if (fingerprint == 1) return LeafOutcome::kSuspect;
        return std::nullopt;
      },
      out_);
  EXPECT_EQ(Reply(second), LeafOutcome::kSuspect);
  EXPECT_EQ(Reply(third), LeafOutcome::kSuspect);
  EXPECT_EQ(Reply(other), std::nullopt);
  EXPECT_FALSE(Started(second));
}

// Guards against a second canary that starts while the first, which is
// unanswered, may still be running on the leaf.
TEST_F(LeafGateCanaryTest, UnansweredCanaryHoldsTheOthersUntilTheirDeadline) {
  const auto first = Canary(1);
  const auto second = Call(1, true, false, milliseconds(300));
  Result(first, LeafOutcome::kTimedOut);
  EXPECT_FALSE(Started(second));
  clock_.Advance(milliseconds(300));
  gate_.Tick(out_);
  EXPECT_EQ(Reply(second), LeafOutcome::kNotSent);
  EXPECT_FALSE(Started(second));
}

TEST_F(LeafGateCanaryTest, CanaryWithoutAFreeSlotIsRedirected) {
  for (std::uint32_t i = 0; i < kSlots; ++i) Call(9);
  EXPECT_EQ(Reply(Call(1, true, true)), LeafOutcome::kNoSlot);
  EXPECT_EQ(Reply(Canary(2)), std::nullopt);
}

// Guards against copies of one request that run on two leaves because a slot
// became free after the first copy was redirected.
TEST_F(LeafGateCanaryTest, LaterCopiesFollowARedirectedCanary) {
  std::vector<model::CallId> running;
  for (std::uint32_t i = 0; i < kSlots; ++i) running.push_back(Call(9));
  Call(1, true, true);
  for (const auto& id : running) Result(id, LeafOutcome::kOk);
  EXPECT_EQ(Reply(Call(1, true, true)), LeafOutcome::kNoSlot);
  EXPECT_TRUE(Started(Call(2, true, true)));
  clock_.Advance(kRedirectRetention);
  EXPECT_TRUE(Started(Call(1, true, true)));
}

// Guards against a queue at one leaf when several hosts do not know yet that a
// popular request is proven: all of them choose the same leaf for it.
TEST_F(LeafGateCanaryTest, ProvenNoWaitCallIsRedirectedButNotRemembered) {
  std::vector<model::CallId> running;
  for (std::uint32_t i = 0; i < kSlots; ++i) running.push_back(Call(9));
  EXPECT_EQ(Reply(Call(1, false, true)), LeafOutcome::kNoSlot);
  for (const auto& id : running) Result(id, LeafOutcome::kOk);
  EXPECT_TRUE(Started(Call(1, false, true)));
}

TEST_F(LeafGateCanaryTest, CopiesOfAnAcceptedCanaryWaitForIt) {
  const auto first = Call(1, true, true);
  for (std::uint32_t i = 1; i < kSlots; ++i) Call(9);
  const auto second = Call(1, true, true);
  EXPECT_EQ(Reply(second), std::nullopt);
  Result(first, LeafOutcome::kOk);
  EXPECT_TRUE(Started(second));
}

}  // namespace
}  // namespace berylreach::limits
