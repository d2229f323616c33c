// State that the bucket coordinators of one host share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/names.h"
#include "berylreach/orders/bucket.h"
#include "berylreach/orders/order_counters.h"
#include "berylreach/orders/order_options.h"
#include "order_key.h"

namespace berylreach::orders {

/// Identity, lease and counters of one host, and the index of its sent orders.
struct CoordinatorState {
  const base::Clock& clock;
  model::HostName host;
  std::uint64_t incarnation = 0;
  OrderOptions options;
  base::TimePoint lease_expiry = base::TimePoint::min();
  OrderCounters counters;
  /// Number of orders without a confirmed claim, in all buckets.
  std::size_t unsent_orders = 0;
  /// Keys of the sent orders, by the id of their SendOrder.
  std::unordered_map<model::CallId, OrderKey> sent;
  std::uint64_t next_call = 1;
  std::uint64_t next_nonce = 1;

  bool HasLease() const { return clock.Now() < lease_expiry; }

  /// Returns an id for a store call. Ids increase, and the remainder modulo
  /// kBucketCount is the bucket.
  std::uint64_t NextCallId(std::uint32_t bucket) {
    return next_call++ * kBucketCount + bucket;
  }

  /// Returns a nonce for a claim. The odd multiplier makes the nonces of one
  /// incarnation distinct; the random incarnation makes those of different
  /// processes distinct.
  std::uint64_t NextNonce() {
    return incarnation ^ (next_nonce++ * 0x9E3779B97F4A7C15ULL);
  }
};

}  // namespace berylreach::orders
