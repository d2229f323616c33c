// Runs orders at the owner of their buckets.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylreach/core/outbox.h"
#include "berylreach/core/shared_state.h"
#include "berylreach/core/store_calls.h"
#include "berylreach/model/leaf_call.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/order_forward.h"
#include "berylreach/orders/action.h"
#include "berylreach/orders/order_coordinator.h"
#include "berylreach/routing/replica.h"
#include "berylreach/routing/snapshot.h"

namespace berylreach::core {

/// Joins the order coordinator to the store, to leaves and to the hosts that
/// forward orders.
class OrderRunner {
 public:
  OrderRunner(const base::Clock& clock, SharedState& state, StoreCalls& store,
              Outbox& outbox);

  /// Runs the order if this host owns its bucket, else passes it on to the
  /// owner: the sender may have used an older set of members.
  void OnForward(const model::HostName& from,
                 const model::OrderForward& received);
  /// Takes the reply to an order that was passed on; returns false for others.
  bool OnOrderReply(const model::OrderReply& reply);
  void OnJournalRead(std::uint64_t id, const model::StoreResult& result);
  void OnJournalCas(std::uint64_t id, const model::StoreResult& result);

  /// Takes the reply to a call of this runner; returns false for any other
  /// reply.
  bool OnLeafReply(const model::LeafReply& reply);

  /// Calls sent to `host` get no reply any more.
  void OnMemberRemoved(const model::HostName& host);

  void SetLeaseExpiry(base::TimePoint expiry);

  /// Buckets that no other host works on.
  void SetExclusiveBuckets(const std::vector<std::uint32_t>& buckets);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const;

  /// Buckets that this host does not own and still runs orders of, under the
  /// names of BucketName.
  std::vector<model::LeafName> HeldBuckets() const;

  /// Orders without final reply, passed on ones included, and outcomes that are
  /// not in the store yet.
  std::size_t open_work() const {
    return coordinator_.open_orders() + coordinator_.unwritten_outcomes() +
           relayed_.size();
  }

  const orders::OrderCounters& counters() const {
    return coordinator_.counters();
  }

 private:
  /// One order that was given to a leaf's owner.
  struct SentOrder {
    orders::SendOrder order;
    model::HostName owner;
    std::vector<model::LeafName> tried;
    base::TimePoint deadline;
  };

  /// An order that was passed on to the owner of its bucket, or waits for it.
  struct RelayedOrder {
    model::HostName from;
    base::TimePoint deadline;
    /// Set while the order waits here: it came back from a host with older
    /// members, or this host may not claim in its bucket yet.
    std::optional<model::OrderForward> deferred;
    base::TimePoint retry_at;
  };

  bool Owns(std::uint32_t bucket) const;
  void RetryDeferred();
  /// Whether this host alone works on `bucket` and holds its lease.
  bool CanClaim(std::uint32_t bucket) const;
  /// Keeps an order until it can be claimed or passed on.
  void Defer(const model::HostName& from, const model::OrderForward& forward);
  void Relay(const model::HostName& from, const model::OrderForward& forward,
             const model::HostName& owner);
  void Execute(const orders::Actions& actions);
  void SendToLeaf(SentOrder order);
  std::optional<routing::Replica> ChooseLeaf(const SentOrder& order,
                                             std::uint64_t fingerprint,
                                             const routing::Snapshot& snapshot);
  model::LeafCall MakeCall(const SentOrder& order, std::uint64_t fingerprint,
                           const routing::Snapshot& snapshot,
                           const model::LeafName& leaf);
  /// Ends the selected orders as if their owners had replied so.
  void FinishSent(model::LeafOutcome outcome,
                  const std::function<bool(const SentOrder&)>& selected);
  void Report(const orders::SendOrder& order, const model::LeafReply& reply);

  const base::Clock& clock_;
  SharedState& state_;
  StoreCalls& store_;
  Outbox& outbox_;
  orders::OrderCoordinator coordinator_;
  bool had_lease_ = false;
  std::vector<std::uint32_t> exclusive_;
  std::unordered_map<model::CallId, model::HostName> origins_;
  std::unordered_map<model::CallId, RelayedOrder> relayed_;
  std::unordered_map<model::CallId, SentOrder> sent_;
};

/// The name under which ownership of an order bucket is agreed, in the form of
/// a leaf name. It contains '/', which names in documents cannot.
model::LeafName BucketName(std::uint32_t bucket);

/// The member that runs the orders of `bucket`; null if there are no members.
const model::Member* BucketOwner(std::uint32_t bucket,
                                 const std::vector<model::Member>& members);

}  // namespace berylreach::core
