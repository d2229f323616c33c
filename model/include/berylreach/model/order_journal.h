// The stored record of all orders of one bucket.
#pragma once

#include <cstdint>
#include <vector>

#include "berylreach/model/order_record.h"

namespace berylreach::model {

/// The orders of one bucket: the value of the store key
/// `<environment>/orders/<bucket>`.
struct OrderJournal {
  std::vector<OrderRecord> records;

  friend bool operator==(const OrderJournal&, const OrderJournal&) = default;
};

}  // namespace berylreach::model
