// Simulation in virtual time of several order coordinators, their callers and a
// leaf, with faults at every step.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/orders/order_coordinator.h"
#include "faulty_store.h"

namespace berylreach::orders {

/// The history of one order of the simulation.
struct OrderHistory {
  int runs = 0;
  /// When the store applied the claim of the last run.
  base::TimePoint last_claim{};
  /// When the order was last refused as `not_run`.
  base::TimePoint last_not_run{};
  bool done = false;
  int attempts = 0;
};

/// Runs a number of orders and counts violations of the at-most-once guarantee
/// and wrong replies.
class OrderSimulation {
 public:
  /// If `exclusive`, at most one host at a time owns the buckets, and it owns
  /// all of them, as the takeover rule ensures. Otherwise, any host gets any
  /// order at any time.
  OrderSimulation(std::uint64_t seed, int orders, bool exclusive)
      : random_(seed), orders_(orders), exclusive_(exclusive) {
    for (Host& host : hosts_) Restart(host);
  }

  void Run() {
    for (int i = 0; i < orders_; ++i)
      event_queue_.After(random_.Milliseconds(0, orders_ * 20),
                         [this, i] { Attempt("key" + std::to_string(i)); });
    Step();
    const base::TimePoint end =
        clock_.Now() + std::chrono::milliseconds(orders_ * 20 + 60'000);
    while (clock_.Now() < end && event_queue_.RunNext()) {
    }
  }

  int run_twice = 0;
  int false_not_run = 0;
  int unclaimed_sends = 0;
  int wrong_results = 0;
  int duplicate_replies = 0;
  int not_run_replies = 0;
  int may_have_run_replies = 0;
  int crashes = 0;
  int freezes = 0;
  int done() const {
    return static_cast<int>(
        std::count_if(history_.begin(), history_.end(),
                      [](const auto& entry) { return entry.second.done; }));
  }

 private:
  static constexpr int kHosts = 3;
  static constexpr base::Duration kLeaseDuration =
      std::chrono::milliseconds(1500);
  static constexpr base::Duration kClockMargin = std::chrono::milliseconds(200);
  static inline const model::ServiceName kService{"order-desk"};

  struct Host {
    std::unique_ptr<OrderCoordinator> coordinator;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    base::TimePoint lease{};
    std::deque<std::function<void(Actions&)>> pending_events;
  };

  void Restart(Host& host) {
    host.incarnation = next_incarnation_++ * 0x1234567ULL;
    host.coordinator = std::make_unique<OrderCoordinator>(
        clock_, model::HostName{"host"}, host.incarnation);
    host.pending_events.clear();
    host.frozen = false;
    host.lease = {};
    if (owner_ == &host) owner_ = nullptr;
  }

  /// Delivers an event to the process with `incarnation`; drops the event if
  /// the process has ended. A frozen process handles the event after it
  /// resumes.
  void Deliver(Host& host, std::uint64_t incarnation,
               std::function<void(OrderCoordinator&, Actions&)> event) {
    if (host.incarnation != incarnation) return;
    host.pending_events.emplace_back(
        [&host, event = std::move(event)](Actions& out) {
          event(*host.coordinator, out);
        });
    if (!host.frozen) HandlePendingEvents(host);
  }

  void HandlePendingEvents(Host& host) {
    while (!host.pending_events.empty()) {
      const auto event = std::move(host.pending_events.front());
      host.pending_events.pop_front();
      Actions out;
      event(out);
      for (Action& action : out)
        std::visit([&](auto& a) { Perform(host, a); }, action);
    }
  }

  void Perform(Host& host, const ReadJournal& read) {
    store_.Read(read.bucket,
                [this, &host, incarnation = host.incarnation, id = read.id](
                    auto outcome, auto journal, auto revision) {
                  Deliver(host, incarnation, [=](auto& c, auto& out) {
                    c.OnJournalRead(id, outcome, journal, revision, out);
                  });
                });
  }

  void Perform(Host& host, const CasJournal& cas) {
    store_.Cas(cas.bucket, cas.revision, cas.journal,
               [this, &host, incarnation = host.incarnation, id = cas.id](
                   auto outcome, auto revision) {
                 Deliver(host, incarnation, [=](auto& c, auto& out) {
                   c.OnJournalCas(id, outcome, revision, out);
                 });
               });
  }

  void Perform(Host& host, const SendOrder& send) {
    const auto* record = store_.Find(kService, send.key);
    if (record == nullptr || record->claimer_incarnation != host.incarnation ||
        record->state != model::OrderState::kClaimed) {
      ++unclaimed_sends;
      return;
    }
    using model::LeafOutcome;
    const base::TimePoint claimed_at = store_.ClaimedAt(record->nonce);
    const int outcome_roll = random_.Range(0, 19);
    const bool runs = outcome_roll < 14;
    auto outcome = LeafOutcome::kOk;
    if (outcome_roll == 12) outcome = LeafOutcome::kLost;
    if (outcome_roll == 13) outcome = LeafOutcome::kTimedOut;
    if (outcome_roll == 14) outcome = LeafOutcome::kLeafCrashed;
    if (outcome_roll == 15) outcome = LeafOutcome::kShed;
    if (outcome_roll > 15) outcome = LeafOutcome::kNotSent;
    event_queue_.After(random_.Milliseconds(1, 40),
                       [=, this, &host, id = send.id, key = send.key,
                        incarnation = host.incarnation] {
                         if (runs) RunAtLeaf(key, claimed_at);
                         // The owner of the leaf crashes, and the outcome is
                         // lost.
                         if (random_.Chance(0.02)) return;
                         Deliver(host, incarnation, [=](auto& c, auto& out) {
                           c.OnOrderOutcome(id, outcome, "\"" + key + "\"", 1,
                                            {}, out);
                         });
                       });
  }

  void Perform(Host&, const Reply& action) {
    const auto found = unanswered_forwards_.find(action.reply.id);
    if (found == unanswered_forwards_.end()) {
      ++duplicate_replies;
      return;
    }
    const std::string key = found->second;
    unanswered_forwards_.erase(found);
    OrderHistory& order = history_[key];
    if (const auto* answer = std::get_if<model::Answer>(&action.reply.reply)) {
      order.done = true;
      if (order.runs != 1 || answer->results[0].result != "\"" + key + "\"")
        ++wrong_results;
      if (random_.Chance(0.1)) Retry(key);  // The reply to the caller was lost.
      return;
    }
    const auto execution =
        std::get<model::Refusal>(action.reply.reply).execution;
    if (execution == model::ExecutionStatus::kMayHaveRun)
      ++may_have_run_replies;
    if (execution == model::ExecutionStatus::kNotRun) {
      ++not_run_replies;
      order.last_not_run = clock_.Now();
      // The order ran under a claim that was applied before this reply.
      if (order.runs > 0 && order.last_claim <= clock_.Now()) ++false_not_run;
    }
    Retry(key);
  }

  void Perform(Host&, const RecordEvent&) {}

  void RunAtLeaf(const std::string& key, base::TimePoint claimed_at) {
    OrderHistory& order = history_[key];
    if (++order.runs > 1) ++run_twice;
    order.last_claim = claimed_at;
    if (order.last_not_run > claimed_at) ++false_not_run;
  }

  void Retry(const std::string& key) {
    event_queue_.After(random_.Milliseconds(1, 2000),
                       [this, key] { Attempt(key); });
  }

  void Attempt(const std::string& key) {
    OrderHistory& order = history_[key];
    if (++order.attempts > 6) return;
    Host* host = exclusive_ ? owner_ : &hosts_[random_.Range(0, kHosts - 1)];
    if (host == nullptr) return Retry(key);
    model::OrderForward forward;
    forward.id = {77, ++next_forward_};
    forward.service = kService;
    forward.key = key;
    forward.payload = "payload of " + key;
    forward.issued_at_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_.WallNow().time_since_epoch())
            .count();
    forward.budget = std::chrono::duration_cast<std::chrono::microseconds>(
        random_.Milliseconds(50, 3000));
    unanswered_forwards_[forward.id] = key;
    Deliver(*host, host->incarnation,
            [=](auto& c, auto& out) { c.OnForward(forward, out); });
    // A caller may repeat the order while its first request is still open.
    if (random_.Chance(0.2)) Retry(key);
  }

  /// Injects faults, extends leases, ticks the hosts and chooses the owner,
  /// every 20 ms.
  void Step() {
    ++steps_;
    if (random_.Chance(0.002)) store_.outage = !store_.outage;
    if (store_.outage && random_.Chance(0.02)) store_.outage = false;
    for (Host& host : hosts_) {
      InjectHostFault(host);
      if (host.frozen) continue;
      const bool lease_expired = clock_.Now() >= host.lease;
      if (owner_ == &host && lease_expired) owner_ = nullptr;
      if (lease_expired && host.lease != base::TimePoint{})
        Deliver(host, host.incarnation,
                [](auto& c, auto& out) { c.OnLeaseLost(out); });
      if (steps_ % 15 == 0 || lease_expired) {
        host.lease = clock_.Now() + kLeaseDuration;
        Deliver(host, host.incarnation, [lease = host.lease](auto& c, auto&) {
          c.OnLeaseExtended(lease);
        });
      }
      Deliver(host, host.incarnation, [](auto& c, auto& out) { c.Tick(out); });
    }
    if (exclusive_) ChooseOwner();
    event_queue_.After(std::chrono::milliseconds(20), [this] { Step(); });
  }

  void InjectHostFault(Host& host) {
    if (random_.Chance(0.001)) {
      ++crashes;
      if (owner_ == &host) takeover_allowed_at_ = host.lease + kClockMargin;
      Restart(host);
    } else if (!host.frozen && random_.Chance(0.002)) {
      ++freezes;
      host.frozen = true;
      event_queue_.After(random_.Milliseconds(100, 5000),
                         [this, &host, incarnation = host.incarnation] {
                           if (host.incarnation != incarnation) return;
                           host.frozen = false;
                           HandlePendingEvents(host);
                         });
    }
  }

  void ChooseOwner() {
    if (owner_ != nullptr && clock_.Now() < owner_->lease + kClockMargin) {
      takeover_allowed_at_ = owner_->lease + kClockMargin;
      return;
    }
    owner_ = nullptr;
    if (clock_.Now() < takeover_allowed_at_) return;
    Host& host = hosts_[random_.Range(0, kHosts - 1)];
    if (host.frozen || clock_.Now() >= host.lease) return;
    owner_ = &host;
    std::vector<std::uint32_t> buckets(kBucketCount);
    std::iota(buckets.begin(), buckets.end(), 0);
    Deliver(host, host.incarnation, [buckets](auto& c, auto& out) {
      c.OnExclusiveBuckets({}, out);
      c.OnExclusiveBuckets(buckets, out);
    });
  }

  base::ManualClock clock_;
  EventQueue event_queue_{clock_};
  RandomSource random_;
  FaultyStore store_{clock_, event_queue_, random_};
  int orders_;
  bool exclusive_;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t next_forward_ = 0;
  std::uint64_t steps_ = 0;
  std::array<Host, kHosts> hosts_;
  Host* owner_ = nullptr;
  base::TimePoint takeover_allowed_at_{};
  std::map<std::string, OrderHistory> history_;
  std::unordered_map<model::CallId, std::string> unanswered_forwards_;
};

}  // namespace berylreach::orders
