// Limits and time settings of the order coordinator.
#pragma once

#include <chrono>
#include <cstddef>

#include "berylreach/base/clock.h"

namespace berylreach::orders {

/// Limits and time settings; the defaults are those of docs/design.md.
struct OrderOptions {
  /// Maximum size of an encoded journal. The store accepts values up to 1 MB.
  std::size_t max_journal_bytes = 1'000'000;
  /// Maximum size of a leaf result that is kept in a record. A repeat of an
  /// order with a larger result is told only that the order ran.
  std::size_t max_outcome_bytes = 4096;
  /// Maximum unsent orders of this host; more are refused as overloaded.
  std::size_t max_unsent_orders = 4096;
  /// Maximum time that an order waits for the store.
  base::Duration max_store_wait = std::chrono::seconds(2);
  /// A store call that has no answer after this time counts as unknown.
  base::Duration store_call_timeout = std::chrono::seconds(1);
  /// Maximum time that an outcome waits for claims to share a write with.
  base::Duration outcome_delay = std::chrono::milliseconds(50);
  /// Minimum average time between writes of one journal. The 16 journals make
  /// at most 200 writes/s, which leaves a third of the store's 300 writes/s to
  /// membership and documents.
  base::Duration write_interval = std::chrono::milliseconds(80);
  /// Number of writes that may follow a pause without that interval.
  int write_burst = 8;
  /// Maximum changed records per write. 1 disables group commit, for
  /// comparison.
  std::size_t max_changes_per_write = 4096;
};

}  // namespace berylreach::orders
