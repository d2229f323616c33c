// Test fixture that drives order coordinators event by event. All of them share
// one journal.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/orders/order_coordinator.h"

namespace berylreach::orders {
using model::ErrorCode;
using model::ExecutionStatus;
using model::LeafOutcome;
using model::OrderState;
using model::StoreOutcome;
using std::chrono::milliseconds;

inline const model::ServiceName kService{"order-desk"};

/// One host process: a coordinator and its actions. The test answers its store
/// calls.
struct Process {
  Process(const base::ManualClock& clock, std::uint64_t incarnation,
          OrderOptions options = {})
      : coordinator(clock, model::HostName{"host"}, incarnation, options) {
    coordinator.OnLeaseExtended(clock.Now() + std::chrono::hours(48));
  }

  /// Removes and returns the first action of type T, if there is one.
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

  /// Reports the outcome of `send` at the leaf.
  void Outcome(const SendOrder& send, LeafOutcome outcome) {
    coordinator.OnOrderOutcome(send.id, outcome, "\"stitched\"", 3, {}, out);
  }

  OrderCoordinator coordinator;
  Actions out;
};

class OrderCoordinatorTest : public testing::Test {
 protected:
  /// Forwards an order that was issued `age` ago.
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

  /// Applies the write to the journal unless the revision has changed.
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

  /// Reports the write as unanswered.
  void LoseCasAnswer(Process& process, const CasJournal& cas) {
    process.coordinator.OnJournalCas(cas.id, StoreOutcome::kUnknown, 0,
                                     process.out);
  }

  /// Ticks the process and answers its store calls, up to 10 times.
  void HandleStoreCalls(Process& process) {
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

  /// Waits longer than the outcome delay and answers the store calls.
  void WriteOutcomes(Process& process) {
    clock_.Advance(milliseconds(60));
    HandleStoreCalls(process);
  }

  /// Lets `process` claim and send the order `key`; returns its SendOrder.
  SendOrder Send(Process& process, const std::string& key) {
    Forward(process, key);
    HandleStoreCalls(process);
    const auto send = process.Take<SendOrder>();
    EXPECT_TRUE(send);
    return send.value_or(SendOrder{});
  }

  /// Makes the bucket of `key` exclusive to `process`, which confirms the
  /// journal by one write.
  void MakeExclusive(Process& process, const std::string& key) {
    process.coordinator.OnExclusiveBuckets({BucketOf(kService, key)},
                                           process.out);
    HandleStoreCalls(process);
  }

  /// Leaves the store calls of `process` unanswered until it detects an outage.
  void BeginOutage(Process& process) {
    for (int i = 0; i < 3; ++i) {
      process.coordinator.Tick(process.out);
      if (const auto cas = process.Take<CasJournal>())
        LoseCasAnswer(process, *cas);
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

}  // namespace berylreach::orders
