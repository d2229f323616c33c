// Guards against doubled orders and false `not_run` around claims and outcomes,
// one situation at a time.
#include "order_coordinator_fixture.h"

namespace berylreach::orders {
namespace {

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

TEST_F(OrderCoordinatorTest, LostAnswerIsResolvedByReadingBack) {
  for (const bool applied : {true, false}) {
    Process a(clock_, applied ? 1 : 2);
    Forward(a, applied ? "k" : "l");
    AnswerRead(a);
    const auto cas = a.Take<CasJournal>();
    if (applied) Apply(*cas);
    LoseCas(a, *cas);
    EXPECT_FALSE(a.Take<SendOrder>());
    AnswerRead(a);
    EXPECT_EQ(a.Take<SendOrder>().has_value(), applied);
    const auto again = a.Take<CasJournal>();
    ASSERT_EQ(again.has_value(), !applied);
    EXPECT_EQ(again ? again->revision : cas->revision, cas->revision);
  }
}

TEST_F(OrderCoordinatorTest, ClaimThatLandsLateIsNotSentAndMayBeClaimedAgain) {
  Process a(clock_, 1);
  Forward(a, "k");
  AnswerRead(a);
  const auto late = a.Take<CasJournal>();
  LoseCas(a, *late);
  AnswerRead(a);
  const auto second = a.Take<CasJournal>();
  clock_.Advance(std::chrono::seconds(3));
  a.coordinator.Tick(a.out);
  const auto refusal = a.TakeRefusal();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->ran, Ran::kMayHaveRun) << "another host may have claimed";
  Apply(*late);
  Settle(a);
  EXPECT_FALSE(a.Take<SendOrder>()) << "the caller has its refusal";
  Send(a, "k");
  EXPECT_FALSE(Apply(*second));
  EXPECT_EQ(journal_.records.size(), 1U);
}

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
    EXPECT_EQ(a.TakeRefusal()->ran, Ran::kMayHaveRun);
    answered ? a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_,
                                          a.out)
             : LoseCas(a, *cas);
    a.coordinator.OnLeaseExtended(clock_.Now() + std::chrono::seconds(9));
    WriteOutcomes(a);
    Send(b, key);
  }
}

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
  Settle(b);
  EXPECT_FALSE(b.Take<SendOrder>());
  const auto refusal = b.TakeRefusal();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->ran, Ran::kMayHaveRun);
}

TEST_F(OrderCoordinatorTest, WokenCoordinatorWithoutLeaseSendsNothing) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  a.coordinator.OnLeaseExtended(clock_.Now() + milliseconds(1500));
  Forward(a, "k");
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  ASSERT_TRUE(Apply(*cas));
  clock_.Advance(std::chrono::seconds(2));
  Forward(b, "k");
  Settle(b);
  EXPECT_EQ(b.TakeRefusal()->ran, Ran::kMayHaveRun);
  a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_, a.out);
  EXPECT_FALSE(a.Take<SendOrder>());
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kNotRun);
  WriteOutcomes(a);
  EXPECT_EQ(journal_.records[0].state, OrderState::kReleased);
  Send(b, "k");
}

TEST_F(OrderCoordinatorTest, LeaseLossRefusesUnsentOrders) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  Forward(a, "k");
  a.coordinator.OnLeaseLost(a.out);
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kNotRun);
  Settle(a);
  EXPECT_FALSE(a.Take<SendOrder>());
  Forward(a, "k");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kNotServing);
}

TEST_F(OrderCoordinatorTest, RepeatsGetTheRecordedOutcome) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  const SendOrder send = Send(a, "k");
  Forward(a, "k");
  EXPECT_FALSE(a.Take<Reply>()) << "joins the run";
  Forward(b, "k");
  Settle(b);
  EXPECT_EQ(b.TakeRefusal()->code, ErrorCode::kInProgress);
  a.Outcome(send, LeafOutcome::kOk);
  const auto first = a.Take<Reply>();
  const auto joined = a.Take<Reply>();
  ASSERT_TRUE(joined);
  EXPECT_EQ(first->reply.reply, joined->reply.reply);
  WriteOutcomes(a);
  Forward(b, "k");
  Settle(b);
  EXPECT_EQ(b.Take<Reply>()->reply.reply, first->reply.reply);
  EXPECT_FALSE(b.Take<SendOrder>());
}

TEST_F(OrderCoordinatorTest, UnknownOutcomeIsNeverSentAgain) {
  Process a(clock_, 1);
  const SendOrder send = Send(a, "k");
  a.Outcome(send, LeafOutcome::kLost);
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kMayHaveRun);
  for (int i = 0; i < 2; ++i) {
    Forward(a, "k");
    EXPECT_EQ(a.TakeRefusal()->ran, Ran::kMayHaveRun);
    WriteOutcomes(a);
  }
  EXPECT_FALSE(a.Take<SendOrder>());
}

TEST_F(OrderCoordinatorTest, ReleasedOrderMayBeClaimedByAnotherHost) {
  Process a(clock_, 1);
  Process b(clock_, 2);
  const SendOrder send = Send(a, "k");
  a.Outcome(send, LeafOutcome::kShed);
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kNotRun);
  Forward(b, "k");
  Settle(b);
  EXPECT_FALSE(b.Take<SendOrder>()) << "the release is not yet in the store";
  b.out.clear();
  WriteOutcomes(a);
  Process c(clock_, 3);
  Forward(c, "k", "other payload");
  Settle(c);
  EXPECT_EQ(c.TakeRefusal()->code, ErrorCode::kKeyConflict);
  Send(b, "k");
}

TEST_F(OrderCoordinatorTest, RefusesConflictingAndExpiredKeys) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  Send(a, "k");
  Forward(a, "k", "other payload");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kKeyConflict);
  Forward(a, "old", "hide", std::chrono::hours(24) + milliseconds(1));
  const auto old = a.TakeRefusal();
  EXPECT_EQ(old->code, ErrorCode::kKeyExpired);
  EXPECT_EQ(old->ran, Ran::kMayHaveRun) << "its record may have expired";
  Forward(a, "future", "hide", -std::chrono::minutes(6));
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kKeyExpired);
  Forward(a, "k", "hide", -std::chrono::minutes(6));
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kMayHaveRun) << "the order was sent";
  Process b(clock_, 2);
  Forward(b, "k", "other payload");
  Settle(b);
  EXPECT_EQ(b.TakeRefusal()->code, ErrorCode::kKeyConflict);
}

}  // namespace
}  // namespace berylreach::orders
