// Probes, status reads and cancellations of one leaf.
#include <utility>

#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status_codec.h"
#include "endpoint.h"
#include "leaf_pool.h"

namespace berylreach::transport {
namespace {

/// Maximum number of probes after a lost connection. The kernel may still
/// accept a connection for a process that is exiting and never serves it, so a
/// probe whose connection is closed without an answer is repeated.
constexpr int kProbeAttempts = 3;

}  // namespace

struct LeafPool::ControlRequest {
  ControlRequest(asio::io_context& context, std::string bytes,
                 ControlCallback callback)
      : request(std::move(bytes)), done(std::move(callback)), timer(context) {}

  std::string request;
  ControlCallback done;
  asio::steady_timer timer;
  ConnectionPtr connection;
  bool reused = false;
};

bool LeafPool::SendControlRequest(std::string request, bool new_connection,
                                  ControlCallback done) {
  if (closed_) return false;
  auto control = std::make_shared<ControlRequest>(
      context_.io, std::move(request), std::move(done));
  if (!new_connection) control->connection = TakeIdle();
  // If TakeIdle dropped all connections, this request is sent on a new
  // connection and its answer shows whether the leaf has restarted.
  all_connections_lost_ = false;
  control->reused = control->connection != nullptr;
  if (!control->reused) {
    if (open_.size() >= max_connections_) Drop(TakeIdle());
    const auto endpoint = ParseEndpoint(address_);
    if (open_.size() >= max_connections_ || !endpoint) return false;
    control->connection =
        std::make_shared<ClientConnection>(context_.io, context_.quota);
    open_.insert(control->connection);
    control->connection->Connect(*endpoint, [self = shared_from_this(),
                                             control](const ErrorCode& error) {
      if (!error) {
        self->WriteControlRequest(control);
      } else {
        ControlResult result;
        result.refused = error == asio::error::connection_refused;
        self->FinishControlRequest(control, std::move(result));
      }
    });
  }
  control_requests_.insert(control);
  control->timer.expires_after(context_.options.probe_timeout);
  control->timer.async_wait(
      [self = shared_from_this(), control](const ErrorCode& error) {
        if (error) return;
        ControlResult result;
        result.timed_out = true;
        self->FinishControlRequest(control, std::move(result));
      });
  if (control->reused) WriteControlRequest(control);
  return true;
}

void LeafPool::WriteControlRequest(
    const std::shared_ptr<ControlRequest>& control) {
  control->connection->Send(control->request, [self = shared_from_this(),
                                               control](Exchange exchange) {
    ControlResult result;
    result.exchange = std::move(exchange);
    self->FinishControlRequest(control, std::move(result));
  });
}

void LeafPool::FinishControlRequest(
    const std::shared_ptr<ControlRequest>& control, ControlResult result) {
  if (closed_ || control_requests_.erase(control) == 0) return;
  control->timer.cancel();
  result.reused = control->reused;
  ReturnToPool(std::exchange(control->connection, nullptr));
  control->done(std::move(result));
  SendQueued();
}

void LeafPool::SendCancel(const model::CallId& id) {
  SendControlRequest(FormatRequest("POST", "/v1/cancel", address_,
                                   config::EncodeLeafCancel(id)),
                     false, [](const ControlResult&) {});
}

std::string LeafPool::StatusRequest() const {
  return FormatRequest("GET", "/v1/status", address_, {});
}

model::LeafOutcome LeafPool::OutcomeOfLoss(const PendingCallPtr& pending,
                                           const ControlResult& result) {
  if (result.refused) return model::LeafOutcome::kLeafCrashed;
  const model::LeafStatus status = ParseStatusAnswer(result.exchange);
  if (!status.reachable) return model::LeafOutcome::kLost;
  incarnation_ = status.incarnation;
  const bool restarted =
      pending->incarnation != 0 && status.incarnation != pending->incarnation;
  return restarted ? model::LeafOutcome::kLeafCrashed
                   : model::LeafOutcome::kLost;
}

bool LeafPool::IsSameProcess(const PendingCallPtr& pending,
                             const ControlResult& result) {
  const model::LeafStatus status = StatusOf(result);
  return status.reachable && status.incarnation == pending->incarnation;
}

void LeafPool::DetermineLossCause(const PendingCallPtr& pending, int attempts) {
  const bool sent = SendControlRequest(
      StatusRequest(), true,
      [self = shared_from_this(), pending,
       attempts](const ControlResult& result) {
        const bool closed_unanswered =
            !result.refused && !result.timed_out &&
            result.exchange.outcome != ExchangeOutcome::kAnswered;
        if (closed_unanswered && attempts + 1 < kProbeAttempts) {
          self->DetermineLossCause(pending, attempts + 1);
          return;
        }
        self->Report(pending, self->OutcomeOfLoss(pending, result));
        self->RemoveCall(pending);
      });
  if (sent) return;
  Report(pending, model::LeafOutcome::kLost);
  RemoveCall(pending);
}

void LeafPool::ProbeSilentConnection(const PendingCallPtr& pending) {
  pending->probing = SendControlRequest(
      StatusRequest(), true,
      [self = shared_from_this(), pending](const ControlResult& result) {
        if (pending->reported) return;
        // A leaf that still runs may be executing the call. Only idempotent
        // calls may be retried elsewhere; an order waits for its answer until
        // its deadline.
        const bool is_order = pending->call.kind == model::RequestKind::kOrder;
        if (is_order && self->IsSameProcess(pending, result)) {
          pending->probing = false;
          return;
        }
        self->Drop(std::exchange(pending->connection, nullptr));
        // The idle connections use the same network path and may be
        // unresponsive too.
        self->DropIdle();
        self->Report(pending, self->OutcomeOfLoss(pending, result));
        self->SendCancel(pending->call.id);
        self->RemoveCall(pending);
      });
}

void LeafPool::Own() {
  released_ = false;
  if (std::exchange(reads_status_, true)) return;
  ReadStatus(false);
}

void LeafPool::Release() {
  reads_status_ = false;
  released_ = true;
  if (pending_calls_.empty()) DropIdle();
  status_timer_.cancel();
}

void LeafPool::ReadStatus(bool new_connection) {
  ReadStatusAfter(context_.options.status_interval);
  SendControlRequest(StatusRequest(), new_connection,
                     [self = shared_from_this()](const ControlResult& result) {
                       self->OnStatusRead(result);
                     });
}

void LeafPool::ReadStatusAfter(std::chrono::milliseconds delay) {
  status_timer_.expires_after(delay);
  status_timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error && !self->closed_ && self->reads_status_)
      self->ReadStatus(false);
  });
}

model::LeafStatus LeafPool::ParseStatusAnswer(const Exchange& exchange) const {
  model::LeafStatus unreachable;
  unreachable.leaf = leaf_;
  if (exchange.outcome != ExchangeOutcome::kAnswered ||
      exchange.response.result() != http::status::ok)
    return unreachable;
  const auto parsed = config::ParseLeafStatus(exchange.response.body());
  if (!parsed.value || parsed.value->leaf != leaf_) return unreachable;
  return *parsed.value;
}

model::LeafStatus LeafPool::StatusOf(const ControlResult& result) {
  model::LeafStatus status = ParseStatusAnswer(result.exchange);
  status.connection_refused = result.refused;
  if (status.reachable) incarnation_ = status.incarnation;
  return status;
}

void LeafPool::ReportStatus(model::LeafStatus status) {
  if (!reads_status_) return;
  if (!status.reachable) ReadStatusAfter(context_.options.down_status_interval);
  context_.on_status(std::move(status));
}

void LeafPool::VerifyIncarnation() {
  verifying_ = true;
  const auto verify = [self = shared_from_this(),
                       known = incarnation_](const ControlResult& result) {
    self->verifying_ = false;
    model::LeafStatus status = self->StatusOf(result);
    const bool same_process =
        status.reachable && (known == 0 || status.incarnation == known);
    self->ReportStatus(std::move(status));
    if (!same_process) self->FailQueued();
    self->SendQueued();
  };
  if (!SendControlRequest(StatusRequest(), true, verify)) verifying_ = false;
}

void LeafPool::OnStatusRead(const ControlResult& result) {
  if (!reads_status_) return;
  const bool answered = result.exchange.outcome == ExchangeOutcome::kAnswered;
  if (!answered && result.reused) {
    // The pooled connection may be broken although the leaf is reachable, so
    // the read is repeated on a new connection.
    ReadStatus(true);
    return;
  }
  ReportStatus(StatusOf(result));
}

}  // namespace berylreach::transport
