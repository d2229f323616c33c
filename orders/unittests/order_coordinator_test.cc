// Guards against orders that run twice and against wrong `not_run` replies.
// Each test covers one situation of claims and outcomes.
#include "order_coordinator_fixture.h"

namespace berylreach::orders {
namespace {

// Guards against orders that are sent before the store has confirmed their
// claim, so that another host could send them too.
TEST_F(OrderCoordinatorTest, SendsOnlyAfterTheClaimIsConfirmed) {
  Process a(clock_, 1);
  Forward(a, "k");
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  ASSERT_TRUE(cas);
  EXPECT_FALSE(a.Take<SendOrder>());
  AnswerCas(a, *cas);
  EXPECT_TRUE(a.Take<SendOrder>());
  EXPECT_FALSE(a.Take<SendOrder>());
}

// Guards against a wrong reaction to a claim whose write got no answer: the
// order must be sent if and only if a read shows that the write was applied.
TEST_F(OrderCoordinatorTest, LostWriteAnswerIsResolvedByReadingBack) {
  for (const bool applied : {true, false}) {
    Process a(clock_, applied ? 1 : 2);
    Forward(a, applied ? "k" : "l");
    AnswerRead(a);
    const auto cas = a.Take<CasJournal>();
    if (applied) Apply(*cas);
    LoseCasAnswer(a, *cas);
    EXPECT_FALSE(a.Take<SendOrder>());
    AnswerRead(a);
    EXPECT_EQ(a.Take<SendOrder>().has_value(), applied);
    const auto again = a.Take<CasJournal>();
    ASSERT_EQ(again.has_value(), !applied);
    EXPECT_EQ(again ? again->revision : cas->revision, cas->revision);
  }
}

// Guards against an order that is sent after its caller was refused, because
// the store applied the write of its claim late.
TEST_F(OrderCoordinatorTest, ClaimAppliedLateIsNotSentAndMayBeClaimedAgain) {
  Process a(clock_, 1);
  Forward(a, "k");
  AnswerRead(a);
  const auto late = a.Take<CasJournal>();
  LoseCasAnswer(a, *late);
  AnswerRead(a);
  const auto second = a.Take<CasJournal>();
  clock_.Advance(std::chrono::seconds(3));
  a.coordinator.Tick(a.out);
  const auto refusal = a.TakeRefusal();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->execution, ExecutionStatus::kMayHaveRun)
      << "another host may have claimed";
  Apply(*late);
  HandleStoreCalls(a);
  EXPECT_FALSE(a.Take<SendOrder>()) << "the caller has its refusal";
  Send(a, "k");
  EXPECT_FALSE(Apply(*second));
  EXPECT_EQ(journal_.records.size(), 1U);
}

// Guards against orders that no host can claim, because a host lost its lease
// and left the claim of an unsent order in the journal.
TEST_F(OrderCoordinatorTest, ClaimConfirmedAfterGivingUpIsReleased) {
  Process b(clock_, 2);
  for (const bool answered : {true, false}) {
    const std::string key = answered ? "k" : "l";
    Process a(clock_, answered ? 1 : 3);
    Forward(a, key);
    AnswerRead(a);
    const auto cas = a.Take<CasJournal>();
    ASSERT_TRUE(Apply(*cas));
    a.coordinator.OnLeaseLost(a.out);
    EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun);
    answered ? a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_,
                                          a.out)
             : LoseCasAnswer(a, *cas);
    a.coordinator.OnLeaseExtended(clock_.Now() + std::chrono::seconds(9));
    WriteOutcomes(a);
    Send(b, key);
  }
}

// Guards against two hosts that claim the same order and both send it.
TEST_F(OrderCoordinatorTest, LoserOfAConflictReadsAgainAndDoesNotSend) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  Forward(a, "k");
  Forward(b, "k");
  AnswerRead(a);
  AnswerRead(b);
  const auto cas_b = b.Take<CasJournal>();
  AnswerCas(a, *a.Take<CasJournal>());
  EXPECT_TRUE(a.Take<SendOrder>());
  AnswerCas(b, *cas_b);
  HandleStoreCalls(b);
  EXPECT_FALSE(b.Take<SendOrder>());
  const auto refusal = b.TakeRefusal();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->execution, ExecutionStatus::kMayHaveRun);
}

// Guards against a frozen host that resumes after its lease has expired and
// sends an order that it had claimed before.
TEST_F(OrderCoordinatorTest, ResumedHostWithoutLeaseSendsNothing) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  a.coordinator.OnLeaseExtended(clock_.Now() + milliseconds(1500));
  Forward(a, "k");
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  ASSERT_TRUE(Apply(*cas));
  clock_.Advance(std::chrono::seconds(2));
  Forward(b, "k");
  HandleStoreCalls(b);
  EXPECT_EQ(b.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun);
  a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_, a.out);
  EXPECT_FALSE(a.Take<SendOrder>());
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kNotRun);
  WriteOutcomes(a);
  EXPECT_EQ(journal_.records[0].state, OrderState::kReleased);
  Send(b, "k");
}

// Guards against a host that keeps unsent orders waiting, or still sends them,
// after it has lost its lease.
TEST_F(OrderCoordinatorTest, LeaseLossRefusesUnsentOrders) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  Forward(a, "k");
  a.coordinator.OnLeaseLost(a.out);
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kNotRun);
  HandleStoreCalls(a);
  EXPECT_FALSE(a.Take<SendOrder>());
  Forward(a, "k");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kNotServing);
}

// Guards against a repeat that runs the order again or gets another reply than
// the first forward.
TEST_F(OrderCoordinatorTest, RepeatsGetTheRecordedOutcome) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  const SendOrder send = Send(a, "k");
  Forward(a, "k");
  EXPECT_FALSE(a.Take<Reply>()) << "joins the run";
  Forward(b, "k");
  HandleStoreCalls(b);
  EXPECT_EQ(b.TakeRefusal()->code, ErrorCode::kInProgress);
  a.Outcome(send, LeafOutcome::kOk);
  const auto first = a.Take<Reply>();
  const auto joined = a.Take<Reply>();
  ASSERT_TRUE(joined);
  EXPECT_EQ(first->reply.reply, joined->reply.reply);
  WriteOutcomes(a);
  Forward(b, "k");
  HandleStoreCalls(b);
  EXPECT_EQ(b.Take<Reply>()->reply.reply, first->reply.reply);
  EXPECT_FALSE(b.Take<SendOrder>());
}

// Guards against an order that is sent again although its first run got no
// reply and may have completed.
TEST_F(OrderCoordinatorTest, UnknownOutcomeIsNeverSentAgain) {
  Process a(clock_, 1);
  const SendOrder send = Send(a, "k");
  a.Outcome(send, LeafOutcome::kLost);
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun);
  for (int i = 0; i < 2; ++i) {
    Forward(a, "k");
    EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun);
    WriteOutcomes(a);
  }
  EXPECT_FALSE(a.Take<SendOrder>());
}

// Guards against a host that claims an order before the release by the previous
// claimer is in the store, and against a released order that no host can claim.
TEST_F(OrderCoordinatorTest, ReleasedOrderMayBeClaimedByAnotherHost) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  const SendOrder send = Send(a, "k");
  a.Outcome(send, LeafOutcome::kShed);
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kNotRun);
  Forward(b, "k");
  HandleStoreCalls(b);
  EXPECT_FALSE(b.Take<SendOrder>()) << "the release is not yet in the store";
  b.out.clear();
  WriteOutcomes(a);
  Process c(clock_, 3);
  Forward(c, "k", "other payload");
  HandleStoreCalls(c);
  EXPECT_EQ(c.TakeRefusal()->code, ErrorCode::kKeyConflict);
  Send(b, "k");
}

// Guards against a key that is reused for another payload, and against orders
// that are too old, so that their record may have expired, or issued too far in
// the future, so that their record would be kept too long.
TEST_F(OrderCoordinatorTest, RefusesConflictingAndExpiredKeys) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  Send(a, "k");
  Forward(a, "k", "other payload");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kKeyConflict);
  Forward(a, "old", "hide", std::chrono::hours(24) + milliseconds(1));
  const auto old = a.TakeRefusal();
  EXPECT_EQ(old->code, ErrorCode::kKeyExpired);
  EXPECT_EQ(old->execution, ExecutionStatus::kMayHaveRun)
      << "its record may have expired";
  Forward(a, "future", "hide", -std::chrono::minutes(6));
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kKeyExpired);
  Forward(a, "k", "hide", -std::chrono::minutes(6));
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun)
      << "the order was sent";
  Process b(clock_, 2);
  Forward(b, "k", "other payload");
  HandleStoreCalls(b);
  EXPECT_EQ(b.TakeRefusal()->code, ErrorCode::kKeyConflict);
}

}  // namespace
}  // namespace berylreach::orders
