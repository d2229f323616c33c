// Limits, timeouts and rates of the order coordinator.
#pragma once

#include <chrono>
#include <cstddef>

#include "berylreach/base/clock.h"

namespace berylreach::orders {

/// Limits, timeouts and rates of the order coordinator. The defaults are those
/// of docs/design.md.
struct OrderOptions {
  /// Maximum size of an encoded journal. The store accepts values up to 1 MB.
  std::size_t max_journal_bytes = 1'000'000;
  /// Maximum size of a leaf result that is kept in a record. A repeat of an
  /// order with a larger result gets a refusal that says that the order ran.
  std::size_t max_outcome_bytes = 4096;
  /// Maximum number of unsent orders of this host; more are refused as
  /// overloaded.
  std::size_t max_unsent_orders = 4096;
  /// Maximum time that an order waits for the store.
  base::Duration max_store_wait = std::chrono::seconds(2);
  /// A store call that has no answer after this time counts as unknown.
  base::Duration store_call_timeout = std::chrono::seconds(1);
  /// Maximum time that an outcome waits to be written together with claims.
  base::Duration outcome_delay = std::chrono::milliseconds(50);
  /// Minimum average time between writes of one journal. The 16 journals make
  /// at most 200 writes/s, which leaves a third of the store's 300 writes/s to
  /// membership and documents.
  base::Duration write_interval = std::chrono::milliseconds(80);
  /// Number of writes that may follow each other without `write_interval` after
  /// a pause.
  int write_burst = 8;
  /// Maximum number of changed records per write. 1 disables group commit; the
  /// order claim benchmark uses this for comparison.
  std::size_t max_changes_per_write = 4096;
};

}  // namespace berylreach::orders
