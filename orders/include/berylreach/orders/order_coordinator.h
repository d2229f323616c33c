// State machine that runs orders at most once, at the owner of their bucket.
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

/// Claims, sends and records the orders of the buckets of one host
/// (docs/design.md, section 3.8). At most one claim of an order is ever
/// confirmed and sent; this guarantee depends only on the compare-and-swap of
/// the store. A reply says `not_run` only if the order is proven not to have
/// run under any claim:
/// - its claim was confirmed at this host and it was not sent, or the upstream
///   proved that it did not run, or
/// - the bucket is exclusive to this host (OnExclusiveBuckets), a write since
///   then has confirmed the known journal, and this journal has no claim of the
///   order that may have been sent.
/// Other refusals of orders that were not sent say `may_have_run`.
/// Not thread-safe.
class OrderCoordinator {
 public:
  /// `incarnation` is that of the host process; no other process may ever use
  /// the same value.
  OrderCoordinator(const base::Clock& clock, model::HostName host,
                   std::uint64_t incarnation, OrderOptions options = {});
  ~OrderCoordinator();

  /// Handles an order of any bucket. Its deadline is the current time plus its
  /// budget.
  void OnForward(const model::OrderForward& forward, Actions& out);

  /// Result of a ReadJournal; `journal` is empty unless `outcome` is kOk.
  void OnJournalRead(std::uint64_t id, model::StoreOutcome outcome,
                     model::OrderJournal journal, std::uint64_t revision,
                     Actions& out);

  /// Result of a CasJournal. `revision` is the new revision, or 0 if the store
  /// does not return it; then the journal is read before the next write.
  void OnJournalCas(std::uint64_t id, model::StoreOutcome outcome,
                    std::uint64_t revision, Actions& out);

  /// The outcome of a SendOrder at the leaf. `result` and `version` are used
  /// only if `outcome` is kOk.
  void OnOrderOutcome(const model::CallId& id, model::LeafOutcome outcome,
                      std::string result, std::uint64_t version,
                      std::chrono::milliseconds retry_after, Actions& out);

  /// A SendOrder was dropped before any byte was sent to the leaf, for example
  /// because the service has no usable leaf.
  void OnOrderUnsent(const model::CallId& id,
                     std::chrono::milliseconds retry_after, Actions& out);

  /// The serving lease of this host now expires at `expiry`. No order is sent
  /// before the first call, or at or after the expiry.
  void OnLeaseExtended(base::TimePoint expiry);

  /// The lease was lost. All unsent orders are refused; orders that arrive
  /// before the next OnLeaseExtended are refused with `not_serving`.
  void OnLeaseLost(Actions& out);

  /// Sets the exclusive buckets, in which no other host claims orders while
  /// this host holds its lease: this host owns them at the current epoch, and
  /// all other members and removed hosts have released them or are fenced, as
  /// for the takeover of a leaf. Newly listed buckets are read and confirmed by
  /// one write each, so that new orders can be refused as `not_run` in a later
  /// store outage. The at-most-once guarantee does not depend on this list.
  void OnExclusiveBuckets(const std::vector<std::uint32_t>& buckets,
                          Actions& out);

  /// Handles deadlines of orders, and timeouts and retries of store calls.
  void Tick(Actions& out);

  /// When Tick is next needed; nullopt if nothing is pending.
  std::optional<base::TimePoint> NextWakeup() const;

  /// Number of orders whose outcome is not known yet, sent or not. A planned
  /// stop waits until this is 0.
  std::size_t open_orders() const;
  /// The buckets that have open orders. As long as a bucket has open orders, no
  /// other host may treat it as exclusive.
  std::vector<std::uint32_t> BucketsWithOpenOrders() const;

  /// Number of outcomes that are not yet in the store. A planned stop waits
  /// until this is 0 too.
  std::size_t unwritten_outcomes() const;

  const OrderCounters& counters() const;

 private:
  std::unique_ptr<CoordinatorState> state_;
  std::array<std::unique_ptr<BucketCoordinator>, kBucketCount> buckets_;
};

}  // namespace berylreach::orders
