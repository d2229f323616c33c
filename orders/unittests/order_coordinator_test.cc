// Guards against doubled orders, false `not_run` and orders that wait forever,
// one situation at a time.
#include "berylreach/orders/order_coordinator.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::orders {
namespace {

using model::ErrorCode;
using model::LeafOutcome;
using model::OrderState;
using model::Ran;
using model::StoreOutcome;
using std::chrono::milliseconds;

const model::ServiceName kService{"order-desk"};

/// One coordinator whose store calls are answered by hand.
struct Process {
  Process(const base::ManualClock& clock, std::uint64_t incarnation,
          OrderOptions options = {})
      : coordinator(clock, model::HostName{"host"}, incarnation, options) {
    coordinator.OnLeaseExtended(clock.Now() + std::chrono::hours(48));
  }

  /// Removes and returns the first action of a type.
  template <typename T>
  std::optional<T> Take() {
    for (auto action = out.begin(); action != out.end(); ++action) {
      if (!std::holds_alternative<T>(*action)) continue;
      T found = std::get<T>(*action);
      out.erase(action);
      return found;
    }
    return std::nullopt;
  }

  std::optional<model::Refusal> TakeRefusal() {
    const auto reply = Take<Reply>();
    if (!reply) return std::nullopt;
    const auto* refusal = std::get_if<model::Refusal>(&reply->reply.reply);
    return refusal == nullptr ? std::nullopt : std::optional(*refusal);
  }

  void Outcome(const SendOrder& send, LeafOutcome outcome) {
    coordinator.OnOrderOutcome(send.id, outcome, "\"stitched\"", 3, {}, out);
  }

  OrderCoordinator coordinator;
  Actions out;
};

class OrderCoordinatorTest : public testing::Test {
 protected:
  void Forward(Process& process, const std::string& key,
               const std::string& payload = "hide",
               milliseconds age = milliseconds(0)) {
    model::OrderForward forward;
    forward.id = {9, ++next_id_};
    forward.service = kService;
    forward.key = key;
    forward.payload = payload;
    forward.issued_at_ms = std::chrono::duration_cast<milliseconds>(
                               clock_.WallNow().time_since_epoch() - age)
                               .count();
    forward.budget = std::chrono::seconds(5);
    process.coordinator.OnForward(forward, process.out);
  }

  void AnswerRead(Process& process, StoreOutcome outcome = StoreOutcome::kOk) {
    const auto read = process.Take<ReadJournal>();
    ASSERT_TRUE(read);
    if (outcome == StoreOutcome::kOk && revision_ == 0)
      outcome = StoreOutcome::kAbsent;
    process.coordinator.OnJournalRead(read->id, outcome, journal_, revision_,
                                      process.out);
  }

  bool Apply(const CasJournal& cas) {
    if (cas.revision != revision_) return false;
    journal_ = cas.journal;
    ++revision_;
    return true;
  }

  void AnswerCas(Process& process, const CasJournal& cas) {
    const bool applied = Apply(cas);
    process.coordinator.OnJournalCas(
        cas.id, applied ? StoreOutcome::kOk : StoreOutcome::kConflict,
        applied ? revision_ : 0, process.out);
  }

  void LoseCas(Process& process, const CasJournal& cas) {
    process.coordinator.OnJournalCas(cas.id, StoreOutcome::kUnknown, 0,
                                     process.out);
  }

  /// Answers store calls until the process makes none.
  void Settle(Process& process) {
    for (int i = 0; i < 10; ++i) {
      process.coordinator.Tick(process.out);
      if (const auto cas = process.Take<CasJournal>()) AnswerCas(process, *cas);
      for (const Action& action : process.out) {
        if (!std::holds_alternative<ReadJournal>(action)) continue;
        AnswerRead(process);
        break;
      }
    }
  }

  void WriteOutcomes(Process& process) {
    clock_.Advance(milliseconds(60));
    Settle(process);
  }

  /// Claims and sends `key` at `process`.
  SendOrder Send(Process& process, const std::string& key) {
    Forward(process, key);
    Settle(process);
    const auto send = process.Take<SendOrder>();
    EXPECT_TRUE(send);
    return send.value_or(SendOrder{});
  }

  /// All buckets become exclusive and are confirmed.
  void MakeExclusive(Process& process, const std::string& key) {
    process.coordinator.OnExclusiveBuckets({BucketOf(kService, key)},
                                           process.out);
    Settle(process);
  }

  void BeginOutage(Process& process) {
    for (int i = 0; i < 3; ++i) {
      process.coordinator.Tick(process.out);
      if (const auto cas = process.Take<CasJournal>()) LoseCas(process, *cas);
      if (const auto read = process.Take<ReadJournal>())
        process.coordinator.OnJournalRead(read->id, StoreOutcome::kUnknown, {},
                                          0, process.out);
    }
  }

  base::ManualClock clock_;
  model::OrderJournal journal_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_id_ = 0;
};

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

TEST_F(OrderCoordinatorTest, ClaimsThatArriveTogetherShareAWrite) {
  // Keys of one bucket.
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

TEST_F(OrderCoordinatorTest, WritesKeepToTheirRate) {
  Process a(clock_, 1);
  const base::TimePoint end = clock_.Now() + std::chrono::seconds(10);
  std::uint64_t forwards = 0;
  for (int i = 0; clock_.Now() < end; ++i) {
    const std::string key = "k" + std::to_string(i);
    if (BucketOf(kService, key) != 0) continue;
    Forward(a, key);
    ++forwards;
    Settle(a);
    clock_.Advance(milliseconds(20));
  }
  EXPECT_LE(a.coordinator.counters().writes, 10'000 / 80 + 8);
  EXPECT_GT(a.coordinator.counters().sent, forwards - 10);
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

TEST_F(OrderCoordinatorTest, OutageIsRefusedTruthfullyAndAtOnce) {
  for (const bool exclusive : {true, false}) {
    Process a(clock_, exclusive ? 1 : 2);
    if (exclusive) MakeExclusive(a, "k");
    Forward(a, "k");
    BeginOutage(a);
    for (int i = 0; i < 2; ++i) {
      const auto refusal = a.TakeRefusal();
      ASSERT_TRUE(refusal);
      EXPECT_EQ(refusal->code, ErrorCode::kStoreUnavailable);
      EXPECT_EQ(refusal->ran, exclusive ? Ran::kNotRun : Ran::kMayHaveRun);
      EXPECT_GT(refusal->retry_after, milliseconds(0));
      Forward(a, "k");
    }
  }
}

TEST_F(OrderCoordinatorTest, RepeatInAnOutageIsNotCalledNotRun) {
  Process a(clock_, 1);
  MakeExclusive(a, "k");
  a.Outcome(Send(a, "k"), LeafOutcome::kLost);
  a.out.clear();
  Forward(a, "k");
  EXPECT_EQ(a.TakeRefusal()->ran, Ran::kMayHaveRun);
}

TEST_F(OrderCoordinatorTest, WriteBegunBeforeExclusivityConfirmsNothing) {
  Process a(clock_, 1);
  Forward(a, "k");
  AnswerRead(a);
  const auto cas = a.Take<CasJournal>();
  Apply(*cas);
  // Another host writes after it; then this host takes the bucket over.
  model::OrderJournal other = journal_;
  other.records.push_back(other.records[0]);
  ++revision_;
  a.coordinator.OnExclusiveBuckets({BucketOf(kService, "k")}, a.out);
  a.coordinator.OnJournalCas(cas->id, StoreOutcome::kOk, revision_ - 1, a.out);
  // The next write finds the other host's revision and confirms after it.
  const auto touch = a.Take<CasJournal>();
  ASSERT_TRUE(touch);
  AnswerCas(a, *touch);
  EXPECT_TRUE(a.Take<ReadJournal>());
}

TEST_F(OrderCoordinatorTest, OutcomeIsWrittenAfterAnOutage) {
  Process a(clock_, 1);
  a.Outcome(Send(a, "k"), LeafOutcome::kOk);
  EXPECT_TRUE(a.Take<Reply>()) << "the caller does not wait for the write";
  clock_.Advance(milliseconds(60));
  BeginOutage(a);
  EXPECT_EQ(a.coordinator.unwritten_outcomes(), 1U);
  clock_.Advance(std::chrono::seconds(5));
  Settle(a);
  EXPECT_EQ(a.coordinator.unwritten_outcomes(), 0U);
  EXPECT_EQ(journal_.records[0].state, OrderState::kDone);
}

TEST_F(OrderCoordinatorTest, FullJournalAndFullQueueAreRefused) {
  Process a(clock_, 1, {.max_journal_bytes = 800, .max_waiting = 1});
  Forward(a, "k");
  Forward(a, "l");
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kOverloaded);
  Settle(a);
  ASSERT_TRUE(a.Take<SendOrder>());
  std::string key = "m";
  while (BucketOf(kService, key) != BucketOf(kService, "k")) key += "m";
  Forward(a, key);
  Settle(a);
  EXPECT_EQ(a.TakeRefusal()->code, ErrorCode::kOverloaded);
  EXPECT_FALSE(a.Take<SendOrder>());
}

TEST_F(OrderCoordinatorTest, RecordsExpireOnlyAfterTheLastPossibleRepeat) {
  Process a(clock_, 1);
  a.Outcome(Send(a, "k"), LeafOutcome::kOk);
  WriteOutcomes(a);
  a.out.clear();
  clock_.Advance(std::chrono::hours(20));
  Forward(a, "k");  // A repeat that states a later issue time.
  EXPECT_TRUE(a.Take<Reply>());
  WriteOutcomes(a);
  clock_.Advance(std::chrono::hours(10));
  Process b(clock_, 2);
  Forward(b, "k", "hide", std::chrono::hours(10));
  Settle(b);
  EXPECT_FALSE(b.Take<SendOrder>()) << "a repeat ran again";
  clock_.Advance(std::chrono::hours(16));
  Send(b, "k");
}

}  // namespace
}  // namespace berylreach::orders
