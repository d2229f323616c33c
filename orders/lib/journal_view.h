// The last known state of one order journal.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "berylreach/model/order_journal.h"
#include "order_key.h"

namespace berylreach::orders {

/// An order older than this is refused.
inline constexpr std::chrono::hours kMaxOrderAge{24};

/// Records outlive the last possible repeat by an hour, so that clocks that
/// differ by less cannot let an expired record's order run again.
inline constexpr std::chrono::hours kRecordLifetime{25};

/// Records of a journal by order, with their encoded size.
class JournalView {
 public:
  using WallTime = std::chrono::system_clock::time_point;

  void Assign(model::OrderJournal journal);

  /// The record of `key`; null if there is none.
  const model::OrderRecord* Find(const OrderKey& key) const;

  void Put(model::OrderRecord record);

  /// Removes records older than kRecordLifetime and returns their number.
  std::size_t Expire(WallTime now);

  model::OrderJournal ToJournal() const;

  /// Bound of the encoded size in bytes.
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
