// The records of an order journal as this host knows them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "berylreach/model/order_journal.h"
#include "order_key.h"

namespace berylreach::orders {

/// Orders that were issued longer ago than this are refused.
inline constexpr std::chrono::hours kMaxOrderAge{24};

/// Records are kept for an hour after the last possible repeat. Thus, an order
/// cannot run again after its record has expired, as long as the clocks of the
/// hosts differ by less than an hour.
inline constexpr std::chrono::hours kRecordLifetime{25};

/// The records of a journal by order, and a bound of their encoded size.
class JournalView {
 public:
  using WallTime = std::chrono::system_clock::time_point;

  /// Replaces all records by those of `journal`.
  void Assign(model::OrderJournal journal);

  /// The record of `key`; null if there is none.
  const model::OrderRecord* Find(const OrderKey& key) const;

  /// Adds `record`, or replaces the record of the same order.
  void Put(model::OrderRecord record);

  /// Removes records older than kRecordLifetime and returns their number.
  std::size_t Expire(WallTime now);

  model::OrderJournal ToJournal() const;

  /// Upper bound of the encoded size of all records, in bytes.
  std::size_t bytes() const { return bytes_; }

  const std::map<OrderKey, model::OrderRecord>& records() const {
    return records_;
  }

 private:
  std::map<OrderKey, model::OrderRecord> records_;
  std::size_t bytes_ = 0;
  /// No record expires before this time.
  WallTime next_expiry_ = WallTime::max();
};

}  // namespace berylreach::orders
