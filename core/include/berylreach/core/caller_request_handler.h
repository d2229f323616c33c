// Handling of the requests that callers send to this host.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylreach/base/wakeup_queue.h"
#include "berylreach/core/outbox.h"
#include "berylreach/core/shared_state.h"
#include "berylreach/limits/admission.h"
#include "berylreach/model/caller_reply.h"
#include "berylreach/model/caller_request.h"
#include "berylreach/model/leaf_reply.h"
#include "berylreach/model/order_reply.h"
#include "berylreach/query/query_runner.h"

namespace berylreach::core {

/// Admits caller requests, runs queries and lookups, and forwards orders to
/// their bucket owners. Each request gets exactly one ReplyToCaller, unless its
/// caller disconnects first.
class CallerRequestHandler {
 public:
  CallerRequestHandler(const base::Clock& clock, SharedState& state,
                       limits::AdmissionOptions options, Outbox& outbox);

  /// Starts or refuses a request. `serving` is false while this host must not
  /// accept new caller requests.
  void OnRequest(const model::CallerRequest& request, bool serving);

  /// Cancels the query or lookup of a caller that has disconnected. An order is
  /// not cancelled, since it may already have been sent to a leaf.
  void OnCallerDisconnected(const model::CallId& id);

  /// Processes the reply to a call of a query or lookup; returns false for any
  /// other reply.
  bool OnLeafReply(const model::LeafReply& reply);
  /// Passes the reply to a forwarded order on to its caller.
  void OnOrderReply(const model::OrderReply& reply);

  /// Fails the calls and orders sent to `host`, which will not reply to them.
  void OnMemberRemoved(const model::HostName& host);

  /// The connection to `host` is lost: queries and lookups replace their calls
  /// to it. Orders forwarded to it wait for their reply or its removal.
  void OnPeerDisconnected(const model::HostName& host);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const {
    return wakeups_.Earliest();
  }

  /// Requests without a final reply.
  std::size_t open_requests() const { return open_queries_ + orders_.size(); }
  const limits::AdmissionCounters& admission() const {
    return admission_.counters();
  }

 private:
  /// A query or lookup. It is kept after its final reply until its leaf calls
  /// have ended.
  struct Query {
    query::QueryRunner runner;
    /// Number of leaf calls for which it was admitted.
    std::size_t leaf_calls = 1;
    /// Whether the final reply is still to be sent.
    bool open = true;
    /// Leaf calls that were sent; removed from `call_requests_` with the query.
    std::vector<model::CallId> calls;
  };

  /// An order that was forwarded to its bucket owner.
  struct Order {
    model::HostName bucket_owner;
    base::TimePoint deadline;
    bool caller_disconnected = false;
  };

  /// Calls `event` for each running query and executes the resulting actions.
  void ForEachQuery(
      const std::function<void(query::QueryRunner&,
                               std::vector<query::Action>&)>& event);
  /// The refusal of a request that this host cannot serve; nothing if it can.
  std::optional<model::Refusal> RefusalFor(const model::CallerRequest& request,
                                           bool serving) const;
  void StartQuery(const model::CallerRequest& request, std::size_t leaf_calls);
  void ForwardOrder(const model::CallerRequest& request);
  void Execute(const model::CallId& request,
               const std::vector<query::Action>& actions);
  void Close(Query& query);
  void FinishOrder(const model::CallId& id, model::CallerReply reply);
  /// Schedules the next wakeup of a query after one of its events, or erases
  /// the query if it is done.
  void RescheduleOrErase(const model::CallId& id);
  void TickQuery(const model::CallId& id);
  void Reply(const model::CallId& id, model::CallerReply reply);

  const base::Clock& clock_;
  SharedState& state_;
  Outbox& outbox_;
  limits::Admission admission_;
  /// Queries and lookups without a final reply.
  std::size_t open_queries_ = 0;
  std::unordered_map<model::CallId, Query> queries_;
  std::unordered_map<model::CallId, Order> orders_;
  /// The request to which each leaf call belongs.
  std::unordered_map<model::CallId, model::CallId> call_requests_;
  base::WakeupQueue<model::CallId> wakeups_;
};

}  // namespace berylreach::core
