// Handling of the requests that callers send to this host.
#include "berylreach/core/caller_request_handler.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/core/order_runner.h"
#include "berylreach/orders/bucket.h"
#include "berylreach/quarantine/fingerprint.h"

namespace berylreach::core {
namespace {

using model::ErrorCode;
using model::ExecutionStatus;
using model::Refusal;
using std::chrono::milliseconds;

// Within about this time a lost lease is usually regained, or the load balancer
// has stopped sending requests to this host.
constexpr milliseconds kNotServingRetryAfter{500};
// A bucket owner that has failed is replaced within about this time, which
// covers failure detection and takeover.
constexpr milliseconds kOrderLostRetryAfter{3000};
// Time after the deadline for the final reply of the bucket owner to arrive
// before this host replies itself.
constexpr milliseconds kForwardGrace{100};

bool Accepts(const model::Service& service, model::RequestKind kind) {
  return std::find(service.accepts.begin(), service.accepts.end(), kind) !=
         service.accepts.end();
}

/// The execution status in a refusal by this host. An earlier attempt of an
/// order may have run, which only the host that claimed the order knows.
ExecutionStatus ExecutionIfRefused(const model::CallerRequest& request) {
  return request.kind == model::RequestKind::kOrder
             ? ExecutionStatus::kMayHaveRun
             : ExecutionStatus::kNotRun;
}

bool IsNotRunRefusal(const model::CallerReply& reply) {
  const auto* refusal = std::get_if<Refusal>(&reply);
  return refusal != nullptr && refusal->execution == ExecutionStatus::kNotRun;
}

/// The reply to an order that has no outcome at its deadline.
Refusal DeadlineRefusal() {
  return {ErrorCode::kDeadlineExceeded, "no outcome before the deadline",
          ExecutionStatus::kMayHaveRun, kNotServingRetryAfter};
}

}  // namespace

CallerRequestHandler::CallerRequestHandler(const base::Clock& clock,
                                           SharedState& state,
                                           limits::AdmissionOptions options,
                                           Outbox& outbox)
    : clock_(clock),
      state_(state),
      outbox_(outbox),
      admission_(clock, options) {}

void CallerRequestHandler::OnRequest(const model::CallerRequest& request,
                                     bool serving) {
  if (auto refusal = RefusalFor(request, serving))
    return Reply(request.id, std::move(*refusal));
  const model::Service& service =
      *model::FindService(state_.Environment(), request.service);
  const bool is_query = request.kind == model::RequestKind::kQuery;
  const std::size_t leaf_calls = is_query ? service.shards : 1;
  const auto decision = admission_.Admit(service.priority, leaf_calls);
  if (!decision.admitted) {
    return Reply(
        request.id,
        Refusal{ErrorCode::kOverloaded, "the host is at its request limit",
                ExecutionIfRefused(request), decision.retry_after});
  }
  if (request.kind == model::RequestKind::kOrder) return ForwardOrder(request);
  StartQuery(request, leaf_calls);
}

std::optional<Refusal> CallerRequestHandler::RefusalFor(
    const model::CallerRequest& request, bool serving) const {
  if (!serving || !state_.HoldsLease()) {
    return Refusal{ErrorCode::kNotServing,
                   "the host does not take requests now",
                   ExecutionIfRefused(request), kNotServingRetryAfter};
  }
  const model::Service* service =
      model::FindService(state_.Environment(), request.service);
  if (service == nullptr) {
    return Refusal{ErrorCode::kUnknownService,
                   "service \"" + request.service.value + "\" does not exist",
                   ExecutionIfRefused(request), milliseconds(0)};
  }
  if (!Accepts(*service, request.kind)) {
    return Refusal{ErrorCode::kBadRequest,
                   "service \"" + request.service.value +
                       "\" does not accept this request kind",
                   ExecutionIfRefused(request), milliseconds(0)};
  }
  return std::nullopt;
}

void CallerRequestHandler::StartQuery(const model::CallerRequest& request,
                                      std::size_t leaf_calls) {
  const auto [found, added] = queries_.try_emplace(
      request.id,
      Query{query::QueryRunner(clock_, state_, request), leaf_calls, true, {}});
  if (!added) return;
  ++open_queries_;
  std::vector<query::Action> actions;
  found->second.runner.Start(actions);
  Execute(request.id, actions);
  RescheduleOrErase(request.id);
}

void CallerRequestHandler::ForwardOrder(const model::CallerRequest& request) {
  const std::uint64_t fingerprint = quarantine::FingerprintOf(request);
  if (state_.quarantine().TrustLevelOf(fingerprint) ==
      quarantine::TrustLevel::kBlocked) {
    admission_.OnRequestDone(1);
    const auto expires = std::chrono::duration_cast<milliseconds>(
        state_.quarantine().ExpiresIn(fingerprint));
    return Reply(
        request.id,
        Refusal{
            ErrorCode::kRequestBlocked,
            "the request is blocked because upstreams died while running it",
            ExecutionIfRefused(request), expires});
  }
  const auto bucket = orders::BucketOf(request.service, request.key);
  const model::Member* owner = BucketOwner(bucket, state_.Members());
  model::OrderForward forward;
  forward.id = request.id;
  forward.service = request.service;
  forward.key = request.key;
  forward.payload = request.payload;
  forward.issued_at_ms = std::chrono::duration_cast<milliseconds>(
                             request.issued_at.time_since_epoch())
                             .count();
  forward.budget = std::chrono::duration_cast<std::chrono::microseconds>(
      request.deadline - clock_.Now());
  forward.deadline_unix_ms =
      std::chrono::duration_cast<milliseconds>(
          (clock_.WallNow() + forward.budget).time_since_epoch())
          .count();
  const auto deadline = request.deadline + kForwardGrace;
  orders_.emplace(request.id, Order{owner->host, deadline, false});
  wakeups_.Set(request.id, deadline);
  outbox_.Send(owner->host, std::move(forward));
}

void CallerRequestHandler::OnCallerDisconnected(const model::CallId& id) {
  if (const auto order = orders_.find(id); order != orders_.end()) {
    order->second.caller_disconnected = true;
    return;
  }
  const auto found = queries_.find(id);
  if (found == queries_.end()) return;
  std::vector<query::Action> actions;
  found->second.runner.Cancel(actions);
  Execute(id, actions);
  Close(found->second);
  RescheduleOrErase(id);
}

bool CallerRequestHandler::OnLeafReply(const model::LeafReply& reply) {
  const auto node = call_requests_.extract(reply.id);
  if (node.empty()) return false;
  const model::CallId id = node.mapped();
  const auto found = queries_.find(id);
  if (found == queries_.end()) return true;
  std::vector<query::Action> actions;
  found->second.runner.OnLeafReply(reply, actions);
  Execute(id, actions);
  RescheduleOrErase(id);
  return true;
}

void CallerRequestHandler::OnOrderReply(const model::OrderReply& reply) {
  const auto order = orders_.find(reply.id);
  if (order == orders_.end()) return;
  // If this process was suspended, a refusal may be processed late. The caller
  // may have retried the order on another host in the meantime, so that "not
  // run" may no longer be true.
  const bool late = clock_.Now() >= order->second.deadline;
  if (late && IsNotRunRefusal(reply.reply))
    return FinishOrder(reply.id, DeadlineRefusal());
  FinishOrder(reply.id, reply.reply);
}

void CallerRequestHandler::OnMemberRemoved(const model::HostName& host) {
  std::vector<model::CallId> lost;
  for (const auto& [id, order] : orders_) {
    if (order.bucket_owner == host) lost.push_back(id);
  }
  for (const model::CallId& id : lost) {
    FinishOrder(
        id,
        Refusal{ErrorCode::kUnavailable, "the host that ran the order was lost",
                ExecutionStatus::kMayHaveRun, kOrderLostRetryAfter});
  }
  ForEachQuery([&](query::QueryRunner& runner, auto& actions) {
    runner.OnMemberRemoved(host, actions);
  });
}

void CallerRequestHandler::OnPeerDisconnected(const model::HostName& host) {
  ForEachQuery([&](query::QueryRunner& runner, auto& actions) {
    runner.OnPeerDisconnected(host, actions);
  });
}

void CallerRequestHandler::ForEachQuery(
    const std::function<void(query::QueryRunner&, std::vector<query::Action>&)>&
        event) {
  std::vector<model::CallId> running;
  for (const auto& [id, query] : queries_) running.push_back(id);
  // The order of the map is unspecified; sorted ids make it deterministic.
  std::sort(running.begin(), running.end());
  for (const model::CallId& id : running) {
    std::vector<query::Action> actions;
    event(queries_.at(id).runner, actions);
    Execute(id, actions);
    RescheduleOrErase(id);
  }
}

void CallerRequestHandler::Tick() {
  while (const auto id = wakeups_.PopDue(clock_.Now())) {
    if (orders_.contains(*id)) {
      FinishOrder(*id, DeadlineRefusal());
    } else {
      TickQuery(*id);
    }
  }
}

void CallerRequestHandler::TickQuery(const model::CallId& id) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) return;
  std::vector<query::Action> actions;
  found->second.runner.Tick(actions);
  Execute(id, actions);
  RescheduleOrErase(id);
}

void CallerRequestHandler::Execute(const model::CallId& request,
                                   const std::vector<query::Action>& actions) {
  for (const query::Action& action : actions) {
    if (const auto* send = std::get_if<query::SendCall>(&action)) {
      call_requests_.emplace(send->call.id, request);
      queries_.at(request).calls.push_back(send->call.id);
      outbox_.Send(send->to, send->call);
    } else if (const auto* cancel = std::get_if<query::CancelCall>(&action)) {
      outbox_.Send(cancel->to,
                   model::LeafCancel{cancel->id, cancel->only_if_queued});
    } else if (const auto* finish = std::get_if<query::Finish>(&action)) {
      Close(queries_.at(request));
      Reply(request, finish->reply);
    } else if (const auto* event = std::get_if<query::RecordEvent>(&action)) {
      outbox_.Record(event->type, event->subject, event->detail);
    } else if (const auto* publish =
                   std::get_if<quarantine::PublishSuspects>(&action)) {
      outbox_.SendToAll(state_.Members(), publish->update);
    }
  }
}

void CallerRequestHandler::Close(Query& query) {
  if (!query.open) return;
  query.open = false;
  --open_queries_;
  admission_.OnRequestDone(query.leaf_calls);
}

void CallerRequestHandler::FinishOrder(const model::CallId& id,
                                       model::CallerReply reply) {
  const auto node = orders_.extract(id);
  if (node.empty()) return;
  wakeups_.Set(id, std::nullopt);
  admission_.OnRequestDone(1);
  if (!node.mapped().caller_disconnected) Reply(id, std::move(reply));
}

void CallerRequestHandler::RescheduleOrErase(const model::CallId& id) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) return;
  if (!found->second.runner.done()) {
    return wakeups_.Set(id, found->second.runner.NextWakeup());
  }
  for (const model::CallId& call : found->second.calls)
    call_requests_.erase(call);
  wakeups_.Set(id, std::nullopt);
  queries_.erase(found);
}

void CallerRequestHandler::Reply(const model::CallId& id,
                                 model::CallerReply reply) {
  outbox_.Emit(ReplyToCaller{id, std::move(reply)});
}

}  // namespace berylreach::core
