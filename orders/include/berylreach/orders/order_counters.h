// Counters of the order coordinator for the metrics endpoint.
#pragma once

#include <cstdint>

namespace berylreach::orders {

/// Totals since the host started.
struct OrderCounters {
  /// Forwards received, including repeats.
  std::uint64_t forwards = 0;
  /// Orders sent to a leaf.
  std::uint64_t sent = 0;
  /// Orders for which a leaf returned a result.
  std::uint64_t done = 0;
  /// Refusals that say `not_run`.
  std::uint64_t not_run = 0;
  /// Refusals that say `may_have_run`.
  std::uint64_t may_have_run = 0;
  /// Journal reads that were started.
  std::uint64_t reads = 0;
  /// Journal writes that were started.
  std::uint64_t writes = 0;
  /// Writes that the store did not apply, for example because the revision had
  /// changed.
  std::uint64_t conflicts = 0;
  /// Writes whose answer was lost.
  std::uint64_t unknown_writes = 0;
  /// Records removed because of their age.
  std::uint64_t expired_records = 0;

  friend bool operator==(const OrderCounters&, const OrderCounters&) = default;
};

}  // namespace berylreach::orders
