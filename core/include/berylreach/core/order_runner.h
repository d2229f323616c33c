// Runs orders on the host that owns their bucket.
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

/// Connects the order coordinator with the store, with the owners of leaves and
/// with the hosts that forward orders.
class OrderRunner {
 public:
  OrderRunner(const base::Clock& clock, SharedState& state, StoreCalls& store,
              Outbox& outbox);

  /// Runs the order if this host owns its bucket. Otherwise relays it to the
  /// owner, since the sender may have used an older set of members.
  void OnForward(const model::HostName& from,
                 const model::OrderForward& received);
  /// Passes the reply to a relayed order back to its sender; returns false for
  /// any other reply.
  bool OnOrderReply(const model::OrderReply& reply);
  void OnJournalRead(std::uint64_t id, const model::StoreResult& result);
  void OnJournalCas(std::uint64_t id, const model::StoreResult& result);

  /// Processes the reply to a call of this runner; returns false for any other
  /// reply.
  bool OnLeafReply(const model::LeafReply& reply);

  /// Fails the calls sent to `host`, which will not reply to them.
  void OnMemberRemoved(const model::HostName& host);

  void SetLeaseExpiry(base::TimePoint expiry);

  /// Sets the buckets whose takeover is complete: no other host can work on
  /// them.
  void SetExclusiveBuckets(const std::vector<std::uint32_t>& buckets);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const;

  /// The names (see BucketName) of buckets that this host does not own but
  /// whose orders it still runs.
  std::vector<model::LeafName> HeldBuckets() const;

  /// Number of orders without a final reply, relayed ones included, and of
  /// outcomes that are not in the store yet.
  std::size_t open_work() const {
    return coordinator_.open_orders() + coordinator_.unwritten_outcomes() +
           relayed_.size();
  }

  const orders::OrderCounters& counters() const {
    return coordinator_.counters();
  }

 private:
  /// An order that was sent to the owner of a leaf, or to the arbiter if its
  /// fingerprint is suspect.
  struct SentOrder {
    orders::SendOrder order;
    /// The host that it was sent to.
    model::HostName sent_to;
    /// Leaves to which it was sent, the current one last.
    std::vector<model::LeafName> tried;
    base::TimePoint deadline;
  };

  /// An order that was relayed to the owner of its bucket, or is deferred.
  struct RelayedOrder {
    model::HostName from;
    base::TimePoint deadline;
    /// Set while the order waits on this host: a host with an older set of
    /// members has relayed it back, or this host cannot claim in its bucket
    /// yet.
    std::optional<model::OrderForward> deferred;
    base::TimePoint retry_at;
  };

  bool Owns(std::uint32_t bucket) const;
  void RetryDeferred();
  /// Whether no other host can work on `bucket` and this host holds its lease.
  bool CanClaim(std::uint32_t bucket) const;
  /// Keeps an order for a short time and then handles it again.
  void Defer(const model::HostName& from, const model::OrderForward& forward);
  void Relay(const model::HostName& from, const model::OrderForward& forward,
             const model::HostName& owner);
  void Execute(const orders::Actions& actions);
  /// Sends the order to a leaf that it has not been sent to yet.
  void SendToLeaf(SentOrder order);
  std::optional<routing::Replica> ChooseLeaf(const SentOrder& order,
                                             std::uint64_t fingerprint,
                                             const routing::Snapshot& snapshot);
  model::LeafCall MakeCall(const SentOrder& order, std::uint64_t fingerprint,
                           const routing::Snapshot& snapshot,
                           const model::LeafName& leaf);
  /// Ends the selected orders as if they had received a reply with `outcome`.
  void FinishSent(model::LeafOutcome outcome,
                  const std::function<bool(const SentOrder&)>& selected);
  /// Passes the final outcome of a sent order to the coordinator.
  void Report(const orders::SendOrder& order, const model::LeafReply& reply);

  const base::Clock& clock_;
  SharedState& state_;
  StoreCalls& store_;
  Outbox& outbox_;
  orders::OrderCoordinator coordinator_;
  bool had_lease_ = false;
  std::vector<std::uint32_t> exclusive_buckets_;
  /// The host from which each order that runs here was received.
  std::unordered_map<model::CallId, model::HostName> origins_;
  std::unordered_map<model::CallId, RelayedOrder> relayed_;
  std::unordered_map<model::CallId, SentOrder> sent_;
};

/// The name of an order bucket, for which takeover is tracked as for a leaf. It
/// contains '/', which leaf names in documents cannot contain.
model::LeafName BucketName(std::uint32_t bucket);

/// The member that runs the orders of `bucket`; null if there are no members.
const model::Member* BucketOwner(std::uint32_t bucket,
                                 const std::vector<model::Member>& members);

}  // namespace berylreach::core
