// A simulated store whose answers may be lost, late or stale.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/model/order_journal.h"
#include "berylreach/model/store_result.h"
#include "berylreach/orders/bucket.h"

namespace berylreach::orders {

/// The event queue of a simulation in virtual time.
class EventQueue {
 public:
  explicit EventQueue(base::ManualClock& clock) : clock_(clock) {}

  void After(base::Duration delay, std::function<void()> event) {
    events_.emplace(clock_.Now() + delay, std::move(event));
  }

  /// Runs the next event; returns false if none is left.
  bool RunNext() {
    if (events_.empty()) return false;
    const auto next = events_.begin();
    clock_.AdvanceTo(next->first);
    const auto event = std::move(next->second);
    events_.erase(next);
    event();
    return true;
  }

 private:
  base::ManualClock& clock_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
};

/// The seeded random choices of a simulation.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(engine_);
  }
  int Range(int low, int high) {
    return std::uniform_int_distribution(low, high)(engine_);
  }
  base::Duration Milliseconds(int low, int high) {
    return std::chrono::milliseconds(Range(low, high));
  }

 private:
  std::mt19937_64 engine_;
};

/// Stores the journals of an environment. All journals share one sequence of
/// revisions.
class FaultyStore {
 public:
  using Outcome = model::StoreOutcome;
  using ReadReply =
      std::function<void(Outcome, model::OrderJournal, std::uint64_t)>;
  using CasReply = std::function<void(Outcome, std::uint64_t)>;

  FaultyStore(base::ManualClock& clock, EventQueue& event_queue,
              RandomSource& random)
      : clock_(clock), event_queue_(event_queue), random_(random) {}

  /// While true, every call gets an unknown outcome or no answer.
  bool outage = false;
  /// Probability of each kind of fault in a call.
  double fault_rate = 0.05;

  void Read(std::uint32_t bucket, ReadReply reply) {
    if (outage || random_.Chance(fault_rate))
      return LoseAnswer([reply] { reply(Outcome::kUnknown, {}, 0); });
    event_queue_.After(random_.Milliseconds(1, 4), [this, bucket, reply] {
      const auto& versions = versions_[bucket];
      const std::size_t age =
          random_.Chance(fault_rate) ? random_.Range(1, 3) : 0;
      if (versions.size() <= age) return reply(Outcome::kAbsent, {}, 0);
      const auto& [revision, journal] = versions[versions.size() - 1 - age];
      reply(Outcome::kOk, journal, revision);
    });
  }

  void Cas(std::uint32_t bucket, std::uint64_t revision,
           const model::OrderJournal& journal, const CasReply& reply) {
    if (outage || random_.Chance(fault_rate)) {
      // The write is lost or applied late, perhaps after the read that checks
      // whether it was applied.
      if (random_.Chance(0.7)) {
        event_queue_.After(random_.Milliseconds(1, 3000),
                           [this, bucket, revision, journal] {
                             Apply(bucket, revision, journal);
                           });
      }
      return LoseAnswer([reply] { reply(Outcome::kUnknown, 0); });
    }
    event_queue_.After(
        random_.Milliseconds(1, 4), [this, bucket, revision, journal, reply] {
          const bool applied = Apply(bucket, revision, journal);
          if (random_.Chance(fault_rate))
            return LoseAnswer([reply] { reply(Outcome::kUnknown, 0); });
          reply(applied ? Outcome::kOk : Outcome::kConflict,
                applied && random_.Chance(0.5) ? revision_ : 0);
        });
  }

  /// When the write of the claim with `nonce` was applied.
  base::TimePoint ClaimedAt(std::uint64_t nonce) const {
    return claimed_at_.at(nonce);
  }

  /// The current record of an order; null if there is none.
  const model::OrderRecord* Find(const model::ServiceName& service,
                                 const std::string& key) const {
    const auto& versions = versions_[BucketOf(service, key)];
    if (versions.empty()) return nullptr;
    for (const auto& record : versions.back().second.records) {
      if (record.service == service && record.key == key) return &record;
    }
    return nullptr;
  }

 private:
  /// Reports half of the lost answers late, as the transport does; the
  /// coordinator must detect the others by its own timeout.
  void LoseAnswer(std::function<void()> report) {
    if (random_.Chance(0.5))
      event_queue_.After(random_.Milliseconds(50, 900), std::move(report));
  }

  bool Apply(std::uint32_t bucket, std::uint64_t revision,
             const model::OrderJournal& journal) {
    auto& versions = versions_[bucket];
    if ((versions.empty() ? 0 : versions.back().first) != revision)
      return false;
    versions.emplace_back(++revision_, journal);
    constexpr std::size_t kKeptVersions = 4;
    if (versions.size() > kKeptVersions) versions.erase(versions.begin());
    for (const auto& record : journal.records)
      claimed_at_.try_emplace(record.nonce, clock_.Now());
    return true;
  }

  base::ManualClock& clock_;
  EventQueue& event_queue_;
  RandomSource& random_;
  std::array<std::vector<std::pair<std::uint64_t, model::OrderJournal>>,
             kBucketCount>
      versions_;
  std::map<std::uint64_t, base::TimePoint> claimed_at_;
  std::uint64_t revision_ = 0;
};

}  // namespace berylreach::orders
