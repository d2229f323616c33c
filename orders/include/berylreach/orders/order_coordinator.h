// Runs orders at most once at the owner of their buckets.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/names.h"
#include "berylreach/model/order_forward.h"
#include "berylreach/model/order_journal.h"
#include "berylreach/model/store_result.h"
#include "berylreach/orders/action.h"
#include "berylreach/orders/bucket.h"
#include "berylreach/orders/order_counters.h"
#include "berylreach/orders/order_options.h"

namespace berylreach::orders {

class BucketCoordinator;
struct CoordinatorState;

/// Claims, sends and records the orders of the buckets of one host (section 3.8
/// of the design page). At most one claim of an order is ever confirmed and
/// sent; that rests on the store's compare-and-swap alone. A reply says
/// `not_run` only if the order is proven not to have run under any claim:
/// - its claim was confirmed here and it was not sent, or the upstream proved
///   that it did not run, or
/// - the bucket is exclusive to this host (OnExclusiveBuckets), a write since
///   then has confirmed the known journal, and that holds no claim of the order
///   that may have been sent.
/// Otherwise an order that is refused without being sent is `may_have_run`.
/// Not thread-safe.
class OrderCoordinator {
 public:
  /// `incarnation` is that of the host process and never used again.
  OrderCoordinator(const base::Clock& clock, model::HostName host,
                   std::uint64_t incarnation, OrderOptions options = {});
  ~OrderCoordinator();

  /// An order of any bucket. Its deadline is now plus its budget.
  void OnForward(const model::OrderForward& forward, Actions& out);

  /// Result of a ReadJournal; `journal` is empty unless `outcome` is kOk.
  void OnJournalRead(std::uint64_t id, model::StoreOutcome outcome,
                     model::OrderJournal journal, std::uint64_t revision,
                     Actions& out);

  /// Result of a CasJournal. `revision` is the new revision, or 0 if the store
  /// does not tell it; then the journal is read before the next write.
  void OnJournalCas(std::uint64_t id, model::StoreOutcome outcome,
                    std::uint64_t revision, Actions& out);

  /// The leaf's outcome of a SendOrder; `result` and `version` with kOk only.
  void OnOrderOutcome(const model::CallId& id, model::LeafOutcome outcome,
                      std::string result, std::uint64_t version,
                      std::chrono::milliseconds retry_after, Actions& out);

  /// A SendOrder was dropped before a byte left for the leaf, for example
  /// because the service has no usable leaf.
  void OnOrderUnsent(const model::CallId& id,
                     std::chrono::milliseconds retry_after, Actions& out);

  /// Expiry of this host's serving lease. Nothing is sent before the first
  /// call, nor at or after the expiry.
  void OnLeaseExtended(base::TimePoint expiry);

  /// The lease was lost. All unsent orders are refused; orders that arrive
  /// before the next OnLeaseExtended are refused with `not_serving`.
  void OnLeaseLost(Actions& out);

  /// The buckets in which no other host claims orders while this host holds its
  /// lease: owned at the current epoch, and all other members and departed
  /// hosts released or fenced (the rule for the takeover of a leaf). Newly
  /// listed buckets are read and confirmed by one write each, so that new
  /// orders can be refused as `not_run` in a later store outage. At-most-once
  /// does not depend on this list.
  void OnExclusiveBuckets(const std::vector<std::uint32_t>& buckets,
                          Actions& out);

  /// Handles deadlines, time-outs and retries of store calls.
  void Tick(Actions& out);

  /// When Tick is next needed.
  std::optional<base::TimePoint> NextWakeup() const;

  /// Orders that are claimed, waiting or sent and have no final reply. A
  /// planned stop waits until this is 0.
  std::size_t open_orders() const;
  /// Buckets with such orders. Until they are empty, no other host may treat
  /// them as exclusive.
  std::vector<std::uint32_t> BucketsWithOpenOrders() const;

  /// Outcomes that are not yet in the store. A planned stop waits for them too.
  std::size_t unwritten_outcomes() const;

  const OrderCounters& counters() const;

 private:
  std::unique_ptr<CoordinatorState> state_;
  std::array<std::unique_ptr<BucketCoordinator>, kBucketCount> buckets_;
};

}  // namespace berylreach::orders
