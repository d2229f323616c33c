// Guards against overloaded cold leaves, calls that starve in the queue without
// a reply, and slots that are reused while the leaf may still be running a
// call.
#include "berylreach/limits/leaf_gate.h"

#include <gtest/gtest.h>

#include <chrono>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::limits {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

class LeafGateTest : public testing::Test {
 protected:
  LeafGateTest() {
    gate_.SetLeaseExpiry(clock_.Now() + std::chrono::hours(1), out_);
    gate_.SetOpen(true, out_);
  }

  model::CallId Call(std::uint32_t priority = 0,
                     milliseconds budget = milliseconds(1000),
                     bool exclusive = false) {
    model::LeafCall call;
    call.id = {1, ++next_};
    call.priority = priority;
    call.budget = budget;
    call.exclusive = exclusive;
    call.fingerprint = next_;
    gate_.OnCall(call, out_);
    return call.id;
  }

  void Result(const model::CallId& id, LeafOutcome outcome,
              std::uint64_t incarnation = 7) {
    model::UpstreamResult result;
    result.id = id;
    result.outcome = outcome;
    result.incarnation = outcome == LeafOutcome::kOk ? incarnation : 0;
    gate_.OnResult(result, out_);
  }

  /// Raises the limit to `limit` with completions of 10 ms.
  void WarmUp(std::uint32_t limit) {
    while (gate_.limit() < limit) Complete(milliseconds(10));
  }

  void Complete(milliseconds service_time, std::uint64_t incarnation = 7) {
    const auto id = Call();
    clock_.Advance(service_time);
    Result(id, LeafOutcome::kOk, incarnation);
  }

  /// Ids started since the last TakeStarted.
  std::vector<model::CallId> TakeStarted() {
    std::vector<model::CallId> ids;
    for (const Action& action : out_) {
      if (const auto* start = std::get_if<StartCall>(&action))
        ids.push_back(start->call.id);
    }
    out_.clear();
    return ids;
  }

  const model::LeafReply* ReplyTo(const model::CallId& id) const {
    for (const Action& action : out_) {
      const auto* reply = std::get_if<Reply>(&action);
      if (reply != nullptr && reply->reply.id == id) return &reply->reply;
    }
    return nullptr;
  }

  base::ManualClock clock_;
  LeafGate gate_{clock_, model::LeafName{"leaf"}, 4};
  Actions out_;
  std::uint64_t next_ = 0;
};

TEST_F(LeafGateTest, ColdLeafRunsOneCallUntilTheFirstSuccess) {
  const auto first = Call();
  Call();
  EXPECT_EQ(gate_.running(), 1U);
  Result(first, LeafOutcome::kOk);
  EXPECT_EQ(gate_.limit(), 2U);
  WarmUp(4);
  Complete(milliseconds(10));
  EXPECT_EQ(gate_.limit(), 4U);
}

TEST_F(LeafGateTest, EachSignOfAColdStartResetsTheLimit) {
  WarmUp(4);
  Complete(milliseconds(10), 8);  // A new incarnation.
  EXPECT_EQ(gate_.limit(), 1U);
  WarmUp(4);
  Result(Call(), LeafOutcome::kLost);
  EXPECT_EQ(gate_.limit(), 1U);
  clock_.Advance(std::chrono::seconds(2));
  gate_.Tick(out_);
  WarmUp(4);
  for (int i = 0; i < 8; ++i) Complete(milliseconds(10));
  Complete(milliseconds(50));
  EXPECT_EQ(gate_.limit(), 4U) << "one slow completion is a straggler";
  Complete(milliseconds(50));
  EXPECT_EQ(gate_.limit(), 1U);
}

// Guards against cancelled hedges that occupy a slot until their deadline
// although the leaf has ended them.
TEST_F(LeafGateTest, CancelledCallThatTheLeafAnsweredFreesItsSlot) {
  WarmUp(4);
  model::UpstreamResult cancelled;
  cancelled.id = Call();
  cancelled.outcome = LeafOutcome::kLost;
  cancelled.call_ended = true;
  gate_.OnResult(cancelled, out_);
  EXPECT_EQ(gate_.limit(), 4U);
  EXPECT_EQ(gate_.running(), 0U);
}

TEST_F(LeafGateTest, RefusedConnectionIsEvidenceOfAColdStart) {
  WarmUp(4);
  model::UpstreamResult refused;
  refused.id = Call();
  refused.connect_failed = true;
  gate_.OnResult(refused, out_);
  EXPECT_EQ(gate_.limit(), 1U);
  EXPECT_EQ(gate_.running(), 0U);
}

TEST_F(LeafGateTest, CompletionOfACallFromBeforeAResetIsIgnored) {
  WarmUp(4);
  const auto before = Call();
  gate_.OnColdEvidence(out_);
  Result(before, LeafOutcome::kOk);
  EXPECT_TRUE(gate_.cold());
  EXPECT_EQ(gate_.limit(), 1U);
}

TEST_F(LeafGateTest, UnansweredCallKeepsItsSlotUntilItsDeadline) {
  const auto id = Call(0, milliseconds(300));
  const auto waiting = Call(0, milliseconds(2000));
  Result(id, LeafOutcome::kTimedOut);
  EXPECT_EQ(ReplyTo(id)->outcome, LeafOutcome::kTimedOut);
  TakeStarted();
  clock_.Advance(milliseconds(299));
  gate_.Tick(out_);
  EXPECT_TRUE(TakeStarted().empty());
  clock_.Advance(milliseconds(51));
  gate_.Tick(out_);
  EXPECT_EQ(TakeStarted(), std::vector{waiting});
}

TEST_F(LeafGateTest, StartsByPriorityThenDeadline) {
  const auto first = Call();
  const auto late = Call(1, milliseconds(900));
  const auto soon = Call(1, milliseconds(500));
  const auto urgent = Call(0, milliseconds(900));
  TakeStarted();
  std::vector<model::CallId> order;
  auto running = first;
  for (int i = 0; i < 3; ++i) {
    gate_.OnColdEvidence(out_);  // Keeps the limit at 1.
    Result(running, LeafOutcome::kVersionGone);
    running = TakeStarted().at(0);
    order.push_back(running);
  }
  EXPECT_EQ(order, (std::vector{urgent, soon, late}));
}

TEST_F(LeafGateTest, RefusesAtOnceCallsThatCannotStartInTime) {
  Call();
  const auto too_late = Call(0, milliseconds(15));
  ASSERT_NE(ReplyTo(too_late), nullptr);
  EXPECT_EQ(ReplyTo(too_late)->outcome, LeafOutcome::kOverloaded);
  EXPECT_GT(ReplyTo(too_late)->retry_after, milliseconds(0));
}

TEST_F(LeafGateTest, DisplacedLowPriorityIsRefusedAndNotStarved) {
  Call();
  const auto low = Call(3, milliseconds(60));
  EXPECT_EQ(ReplyTo(low), nullptr);
  Call(0);
  Call(0);
  ASSERT_NE(ReplyTo(low), nullptr);
  EXPECT_EQ(ReplyTo(low)->outcome, LeafOutcome::kOverloaded);
}

TEST_F(LeafGateTest, FullQueueRefusesTheLastInOrder) {
  for (std::size_t i = 0; i <= kMaxQueuedCalls; ++i)
    Call(1, milliseconds(100'000));
  EXPECT_EQ(gate_.queued(), kMaxQueuedCalls);
  const auto urgent = Call(0, milliseconds(100'000));
  EXPECT_EQ(ReplyTo(urgent), nullptr);
  EXPECT_EQ(gate_.queued(), kMaxQueuedCalls);
}

TEST_F(LeafGateTest, ExclusiveCallRunsWithNothingElse) {
  WarmUp(4);
  out_.clear();
  const auto other = Call();
  const auto exclusive = Call(0, milliseconds(500), true);
  const auto after = Call();
  EXPECT_EQ(TakeStarted(), std::vector{other});
  Result(other, LeafOutcome::kOk);
  EXPECT_EQ(TakeStarted(), std::vector{exclusive});
  Result(exclusive, LeafOutcome::kOk);
  EXPECT_EQ(TakeStarted(), std::vector{after});
}

TEST_F(LeafGateTest, CancelDropsQueuedAndIsForwardedForRunning) {
  const auto running = Call();
  const auto queued = Call();
  gate_.OnCancel(queued, out_);
  gate_.OnCancel(running, out_);
  EXPECT_EQ(ReplyTo(queued)->outcome, LeafOutcome::kNotSent);
  EXPECT_EQ(std::get<CancelRunning>(out_.back()).id, running);
  EXPECT_EQ(gate_.running(), 1U) << "the leaf may still run it";
}

TEST_F(LeafGateTest, ClosedGateHoldsCallsAndOpensCold) {
  WarmUp(4);
  gate_.SetOpen(false, out_);
  out_.clear();
  const auto held = Call();
  Call();
  EXPECT_TRUE(TakeStarted().empty());
  gate_.SetOpen(true, out_);
  EXPECT_EQ(TakeStarted(), std::vector{held});
}

TEST_F(LeafGateTest, NothingStartsWithoutLeaseAndDeadlinesEndWithIt) {
  gate_.SetLeaseExpiry(clock_.Now() + milliseconds(400), out_);
  Call();
  EXPECT_EQ(std::get<StartCall>(out_.back()).not_after,
            clock_.Now() + milliseconds(400));
  Result({1, 1}, LeafOutcome::kOk);
  clock_.Advance(milliseconds(400));
  out_.clear();
  Call();
  EXPECT_TRUE(TakeStarted().empty());
}

TEST_F(LeafGateTest, DrainingAndZoneOutRefuseQueuedAndLetRunningComplete) {
  for (const bool zone : {false, true}) {
    gate_.OnColdEvidence(out_);
    const auto running = Call();
    const auto queued = Call();
    zone ? gate_.SetZoneOutOfService(true, out_)
         : gate_.SetDraining(true, out_);
    EXPECT_EQ(ReplyTo(queued)->outcome, LeafOutcome::kDraining);
    EXPECT_EQ(ReplyTo(Call())->outcome, LeafOutcome::kDraining);
    Result(running, LeafOutcome::kOk);
    EXPECT_EQ(ReplyTo(running)->outcome, LeafOutcome::kOk);
    zone ? gate_.SetZoneOutOfService(false, out_)
         : gate_.SetDraining(false, out_);
  }
  EXPECT_EQ(gate_.limit(), 1U) << "a leaf is cold when its zone returns";
}

TEST_F(LeafGateTest, RunningFingerprintsIncludeUnansweredCalls) {
  WarmUp(4);
  const auto lost = Call();
  const auto other = Call();
  Result(lost, LeafOutcome::kLost);
  EXPECT_EQ(gate_.RunningFingerprints(),
            (std::vector{lost.counter, other.counter}));
}

}  // namespace
}  // namespace berylreach::limits
