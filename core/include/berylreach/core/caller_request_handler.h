// The duties of a host towards its callers.
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
/// their bucket owners. Each accepted request gets exactly one ReplyToCaller,
/// unless its caller goes away.
class CallerRequestHandler {
 public:
  CallerRequestHandler(const base::Clock& clock, SharedState& state,
                       limits::AdmissionOptions options, Outbox& outbox);

  /// `serving` is false while this host must not take new caller requests.
  void OnRequest(const model::CallerRequest& request, bool serving);

  /// The caller has gone away. An order is not withdrawn, since it may have
  /// been sent.
  void OnCallerDisconnected(const model::CallId& id);

  /// Takes the reply to a call of a query or lookup; returns false for any
  /// other reply.
  bool OnLeafReply(const model::LeafReply& reply);
  void OnOrderReply(const model::OrderReply& reply);

  /// Calls and orders sent to `host` get no reply any more.
  void OnMemberRemoved(const model::HostName& host);

  /// The connection to `host` is lost: its calls of queries and lookups are
  /// replaced. Orders wait for their outcome or the loss of the member.
  void OnPeerDisconnected(const model::HostName& host);

  void Tick();
  std::optional<base::TimePoint> NextWakeup() const {
    return wakeups_.Earliest();
  }

  /// Requests without final reply.
  std::size_t open_requests() const { return open_queries_ + orders_.size(); }
  const limits::AdmissionCounters& admission() const {
    return admission_.counters();
  }

 private:
  /// A running query or lookup.
  struct Query {
    query::QueryRunner runner;
    std::size_t leaf_calls = 1;
    bool open = true;
    /// Leaf calls that were sent, for removal with the query.
    std::vector<model::CallId> calls;
  };

  /// An order that was forwarded.
  struct Order {
    model::HostName bucket_owner;
    base::TimePoint deadline;
    bool caller_gone = false;
  };

  /// Gives each running query an event.
  void ForEachQuery(
      const std::function<void(query::QueryRunner&,
                               std::vector<query::Action>&)>& event);
  std::optional<model::Refusal> Check(const model::CallerRequest& request,
                                      bool serving) const;
  void StartQuery(const model::CallerRequest& request, std::size_t leaf_calls);
  void ForwardOrder(const model::CallerRequest& request);
  void Execute(const model::CallId& request,
               const std::vector<query::Action>& actions);
  void Close(Query& query);
  void FinishOrder(const model::CallId& id, model::CallerReply reply);
  /// Schedules or drops a query after one of its events.
  void RescheduleOrErase(const model::CallId& id);
  void TickQuery(const model::CallId& id);
  void Reply(const model::CallId& id, model::CallerReply reply);

  const base::Clock& clock_;
  SharedState& state_;
  Outbox& outbox_;
  limits::Admission admission_;
  std::size_t open_queries_ = 0;
  std::unordered_map<model::CallId, Query> queries_;
  std::unordered_map<model::CallId, Order> orders_;
  /// Request to which a leaf call belongs.
  std::unordered_map<model::CallId, model::CallId> call_requests_;
  base::WakeupQueue<model::CallId> wakeups_;
};

}  // namespace berylreach::core
