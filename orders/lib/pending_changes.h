// Changes of journal records that are not yet in the store.
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

/// Outcomes of claims of this host, and issue times of repeats that are later
/// than the recorded ones. A change stays pending until the known journal
/// contains it or makes it irrelevant.
class PendingChanges {
 public:
  using WallTime = std::chrono::system_clock::time_point;

  /// Records that the claim with `nonce` of the order `key` ended in `state`.
  /// Replaces an earlier outcome of the order.
  void SetOutcome(const OrderKey& key, std::uint64_t nonce,
                  model::OrderState state, std::string outcome,
                  std::uint64_t version, base::TimePoint now);

  /// Records that a repeat of the order was issued at `issued_at`, later than
  /// its record says. The record must outlast the time in which this repeat is
  /// accepted; otherwise the repeat could run the order again after the record
  /// has expired.
  void RaiseIssueTime(const OrderKey& key, WallTime issued_at,
                      base::TimePoint now);

  /// Applies up to `limit` changes to `view`, dropping results that would
  /// enlarge it beyond `max_bytes`. Returns the number applied.
  std::size_t ApplyTo(JournalView& view, std::size_t max_bytes,
                      std::size_t limit) const;

  /// Drops the changes that `view` contains or makes irrelevant.
  void DropSatisfied(const JournalView& view);

  bool HasOutcome(const OrderKey& key) const { return outcomes_.contains(key); }
  bool empty() const { return outcomes_.empty() && issue_times_.empty(); }
  std::size_t outcomes() const { return outcomes_.size(); }

  /// When the oldest change became pending; nullopt if there is none.
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

  /// Whether `outcome` would change `record`.
  static bool Applies(const Outcome& outcome, const model::OrderRecord* record);
  /// Sets `pending_since_` unless it is set.
  void SetPendingSince(base::TimePoint now);

  std::map<OrderKey, Outcome> outcomes_;
  std::map<OrderKey, WallTime> issue_times_;
  std::optional<base::TimePoint> pending_since_;
};

}  // namespace berylreach::orders
