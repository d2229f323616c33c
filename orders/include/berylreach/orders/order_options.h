// Bounds and times of the order coordinator.
#pragma once

#include <chrono>
#include <cstddef>

#include "berylreach/base/clock.h"

namespace berylreach::orders {

/// Bounds and times; the defaults are those of the design page.
struct OrderOptions {
  /// Largest encoded journal. The store takes 1 MB.
  std::size_t max_journal_bytes = 1'000'000;
  /// Largest leaf result kept in a record. A repeat of an order with a larger
  /// result learns only that the order ran.
  std::size_t max_outcome_bytes = 4096;
  /// Unsent orders of this host.
  std::size_t max_unsent_orders = 4096;
  /// Longest wait of an order for the store.
  base::Duration max_store_wait = std::chrono::seconds(2);
  /// A store call without an answer for this time counts as unknown.
  base::Duration store_call_timeout = std::chrono::seconds(1);
  /// Longest time that an outcome waits for claims to share a write with.
  base::Duration outcome_delay = std::chrono::milliseconds(50);
  /// Least average time between writes of one journal. 16 journals write at
  /// most 200 times a second, which leaves a third of the store's 300 writes/s
  /// to membership and documents.
  base::Duration write_interval = std::chrono::milliseconds(80);
  /// Writes that may follow each other without that interval after a pause.
  int write_burst = 8;
  /// Changed records per write. 1 gives one claim per write, for comparison.
  std::size_t max_changes_per_write = 4096;
};

}  // namespace berylreach::orders
