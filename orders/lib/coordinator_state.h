// State that the buckets of a coordinator share.
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

/// Identity, lease, counters and the index of sent orders of one host.
struct CoordinatorState {
  const base::Clock& clock;
  model::HostName host;
  std::uint64_t incarnation = 0;
  OrderOptions options;
  base::TimePoint lease_expiry = base::TimePoint::min();
  OrderCounters counters;
  /// Orders without a confirmed claim.
  std::size_t unsent_orders = 0;
  /// Keys of the runs that were sent.
  std::unordered_map<model::CallId, OrderKey> sent;
  std::uint64_t next_call = 1;
  std::uint64_t next_nonce = 1;

  bool HasLease() const { return clock.Now() < lease_expiry; }

  /// Store call ids rise, and their remainder names the bucket.
  std::uint64_t NextCallId(std::uint32_t bucket) {
    return next_call++ * kBucketCount + bucket;
  }

  /// The odd multiplier makes the nonces of one incarnation distinct; the
  /// random incarnation separates those of different processes.
  std::uint64_t NextNonce() {
    return incarnation ^ (next_nonce++ * 0x9E3779B97F4A7C15ULL);
  }
};

}  // namespace berylreach::orders
