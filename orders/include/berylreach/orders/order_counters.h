// Counters of the order coordinator for the metrics page.
#pragma once

#include <cstdint>

namespace berylreach::orders {

/// Totals since the host started.
struct OrderCounters {
  std::uint64_t forwards = 0;
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t unknown_writes = 0;
  std::uint64_t expired_records = 0;

  friend bool operator==(const OrderCounters&, const OrderCounters&) = default;
};

}  // namespace berylreach::orders
