// Changes of records that still have to reach the store.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/model/order_record.h"
#include "journal_view.h"
#include "order_key.h"

namespace berylreach::orders {

/// Outcomes of claims of this host and later issue times of repeats. A change
/// stays pending until a known state of the journal shows it or makes it moot.
class PendingChanges {
 public:
  using WallTime = std::chrono::system_clock::time_point;

  /// The claim `nonce` of `key` ended in `state`. Replaces an earlier outcome
  /// of the key.
  void SetOutcome(const OrderKey& key, std::uint64_t nonce,
                  model::OrderState state, std::string outcome,
                  std::uint64_t version, base::TimePoint now);

  /// A repeat was issued later than the record says. The record must outlive
  /// that repeat, or the repeat could run again after the record's expiry.
  void Extend(const OrderKey& key, WallTime issued_at, base::TimePoint now);

  /// Applies up to `limit` changes to `view`, dropping results that would
  /// enlarge it beyond `max_bytes`. Returns the number applied.
  std::size_t ApplyTo(JournalView& view, std::size_t max_bytes,
                      std::size_t limit) const;

  /// Forgets the changes that `view` shows or makes moot.
  void DropSatisfied(const JournalView& view);

  bool HasOutcome(const OrderKey& key) const { return outcomes_.contains(key); }
  bool empty() const { return outcomes_.empty() && issue_times_.empty(); }
  std::size_t outcomes() const { return outcomes_.size(); }

  /// When the oldest change became pending; nothing if there is none.
  std::optional<base::TimePoint> pending_since() const {
    return pending_since_;
  }

 private:
  struct Outcome {
    std::uint64_t nonce = 0;
    model::OrderState state = model::OrderState::kReleased;
    std::string outcome;
    std::uint64_t version = 0;
  };

  static bool Applies(const Outcome& outcome, const model::OrderRecord* record);
  void SetPendingSince(base::TimePoint now);

  std::map<OrderKey, Outcome> outcomes_;
  std::map<OrderKey, WallTime> issue_times_;
  std::optional<base::TimePoint> pending_since_;
};

}  // namespace berylreach::orders
