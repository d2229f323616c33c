// Guards against an overloaded store, wrong replies while the journal is full
// or the store is unreachable, and records that are removed too early.
#include "order_coordinator_fixture.h"

namespace berylreach::orders {
namespace {

// Guards against one store write per claim, which would overload the store.
TEST_F(OrderCoordinatorTest, ClaimsThatArriveTogetherShareAWrite) {
  // All keys are of bucket 0.
  std::vector<std::string> keys;
  for (int i = 0; keys.size() < 20; ++i) {
    const std::string key = "k" + std::to_string(i);
    if (BucketOf(kService, key) == 0) keys.push_back(key);
  }
  Process a(clock_, 1);
  for (const std::string& key : keys) Forward(a, key);
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  ASSERT_TRUE(cas);
  EXPECT_EQ(cas->journal.records.size(), keys.size());
  EXPECT_FALSE(a.Take<CasJournal>()) << "one write in flight";
}

// Guards against journal writes that exceed the rate limit, and against orders
// that are not sent because of it.
TEST_F(OrderCoordinatorTest, WritesStayWithinTheRateLimit) {
  Process a(clock_, 1);
  const base::TimePoint end = clock_.Now() + std::chrono::seconds(10);
  std::uint64_t forwards = 0;
  for (int i = 0; clock_.Now() < end; ++i) {
    const std::string key = "k" + std::to_string(i);
    if (BucketOf(kService, key) != 0) continue;
    Forward(a, key);
    ++forwards;
    HandleStoreCalls(a);
    clock_.Advance(milliseconds(20));
  }
  EXPECT_LE(a.coordinator.counters().writes, 10'000 / 80 + 8);
  EXPECT_GT(a.coordinator.counters().sent, forwards - 10);
}

// Guards against orders that wait while the store is unreachable, and against
// `not_run` replies of a host for which the bucket is not exclusive.
TEST_F(OrderCoordinatorTest, OrdersInAnOutageAreRefusedCorrectlyAndAtOnce) {
  for (const bool exclusive : {true, false}) {
    Process a(clock_, exclusive ? 1 : 2);
    if (exclusive) MakeExclusive(a, "k");
    Forward(a, "k");
    BeginOutage(a);
    for (int i = 0; i < 2; ++i) {
      const auto refusal = a.TakeRefusal();
      ASSERT_TRUE(refusal);
      EXPECT_EQ(refusal->code, ErrorCode::kStoreUnavailable);
      EXPECT_EQ(refusal->execution, exclusive ? ExecutionStatus::kNotRun
                                              : ExecutionStatus::kMayHaveRun);
      EXPECT_GT(refusal->retry_after, milliseconds(0));
      Forward(a, "k");
    }
  }
}

// Guards against a repeat that is refused as `not_run`, because the bucket is
// exclusive, although the connection was lost after the order had been sent.
TEST_F(OrderCoordinatorTest, RepeatOfALostOrderIsRefusedAsMayHaveRun) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  a.Outcome(Send(a, "k"), LeafOutcome::kLost);
  a.out.clear();
  Forward(a, "k");
  EXPECT_EQ(a.TakeRefusal()->execution, ExecutionStatus::kMayHaveRun);
}

// Guards against a false `not_run`: a write that began before the bucket became
// exclusive must not confirm the journal, because another host may have written
// after it.
TEST_F(OrderCoordinatorTest, WriteBegunBeforeExclusivityConfirmsNothing) {
  Process a(clock_, 1);
  Forward(a, "k");
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  Apply(*cas);
  // Another host writes after it. Then this host takes the bucket over.
  model::OrderJournal other = journal_;
  other.records.push_back(other.records[0]);
  ++revision_;
  a.coordinator.OnExclusiveBuckets({BucketOf(kService, "k")}, a.out);
  a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_ - 1, a.out);
  // The next write conflicts with the write of the other host, so the journal
  // is read again before it is confirmed.
  const auto confirming_write = a.Take<CasJournal>();
  ASSERT_TRUE(confirming_write);
  AnswerCas(a, *confirming_write);
  EXPECT_TRUE(a.Take<ReadJournal>());
}

// Guards against outcomes that are lost because the store was unreachable when
// they arrived.
TEST_F(OrderCoordinatorTest, OutcomeIsWrittenAfterAnOutage) {
  Process a(clock_, 1);
  a.Outcome(Send(a, "k"), LeafOutcome::kOk);
  EXPECT_TRUE(a.Take<Reply>()) << "the caller does not wait for the write";
  clock_.Advance(milliseconds(60));
  BeginOutage(a);
  EXPECT_EQ(a.coordinator.unwritten_outcomes(), 1U);
  clock_.Advance(std::chrono::seconds(5));
  HandleStoreCalls(a);
  EXPECT_EQ(a.coordinator.unwritten_outcomes(), 0U);
  EXPECT_EQ(journal_.records[0].state, OrderState::kDone);
}

// Guards against journals that grow beyond what the store accepts, and against
// an unlimited queue of unsent orders.
TEST_F(OrderCoordinatorTest, FullJournalAndFullQueueAreRefused) {
  Process a(clock_, 1, {.max_journal_bytes = 800, .max_unsent_orders = 1});
  Forward(a, "k");
  Forward(a, "l");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kOverloaded);
  HandleStoreCalls(a);
  ASSERT_TRUE(a.Take<SendOrder>());
  std::string key = "m";
  while (BucketOf(kService, key) != BucketOf(kService, "k")) key += "m";
  Forward(a, key);
  HandleStoreCalls(a);
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kOverloaded);
  EXPECT_FALSE(a.Take<SendOrder>());
}

// Guards against an order that runs twice, because its record expires while a
// repeat with a later issue time is still accepted.
TEST_F(OrderCoordinatorTest, RecordsExpireOnlyAfterTheLastPossibleRepeat) {
  Process a(clock_, 1);
  a.Outcome(Send(a, "k"), LeafOutcome::kOk);
  WriteOutcomes(a);
  a.out.clear();
  clock_.Advance(std::chrono::hours(20));
  Forward(a, "k");  // A repeat with a later issue time.
  EXPECT_TRUE(a.Take<Reply>());
  WriteOutcomes(a);
  clock_.Advance(std::chrono::hours(10));
  Process b(clock_, 2);
  Forward(b, "k", "hide", std::chrono::hours(10));
  HandleStoreCalls(b);
  EXPECT_FALSE(b.Take<SendOrder>()) << "a repeat ran again";
  clock_.Advance(std::chrono::hours(16));
  Send(b, "k");
}

}  // namespace
}  // namespace berylreach::orders
