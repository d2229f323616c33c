// Probes, status reads and cancellations of one leaf.
#include <utility>

#include "berylreach/config/leaf_call_codec.h"
#include "berylreach/config/leaf_status_codec.h"
#include "endpoint.h"
#include "leaf_pool.h"

namespace berylreach::transport {
namespace {

/// A dying process may still complete a connection that it never serves, so a
/// probe that is cut off is repeated.
constexpr int kProbeAttempts = 3;

}  // namespace

struct LeafPool::Aux {
  Aux(asio::io_context& context, std::string bytes, AuxDone callback)
      : request(std::move(bytes)), done(std::move(callback)), timer(context) {}

  std::string request;
  AuxDone done;
  asio::steady_timer timer;
  ConnectionPtr connection;
  bool reused = false;
};

bool LeafPool::SendAux(std::string request, bool fresh, AuxDone done) {
  if (closed_) return false;
  auto aux =
      std::make_shared<Aux>(context_.io, std::move(request), std::move(done));
  if (!fresh) aux->connection = TakeIdle();
  // The answer on a fresh connection tells what the lost ones mean.
  lost_all_ = false;
  aux->reused = aux->connection != nullptr;
  if (!aux->reused) {
    if (open_.size() >= limit_) Drop(TakeIdle());
    const auto endpoint = ParseEndpoint(address_);
    if (open_.size() >= limit_ || !endpoint) return false;
    aux->connection = std::make_shared<ClientConnection>(context_.io);
    open_.insert(aux->connection);
    aux->connection->Connect(
        *endpoint, [self = shared_from_this(), aux](const ErrorCode& error) {
          if (!error) {
            self->WriteAux(aux);
          } else {
            AuxResult result;
            result.refused = error == asio::error::connection_refused;
            self->FinishAux(aux, std::move(result));
          }
        });
  }
  aux_.insert(aux);
  aux->timer.expires_after(context_.options.probe_timeout);
  aux->timer.async_wait(
      [self = shared_from_this(), aux](const ErrorCode& error) {
        if (error) return;
        AuxResult result;
        result.timed_out = true;
        self->FinishAux(aux, std::move(result));
      });
  if (aux->reused) WriteAux(aux);
  return true;
}

void LeafPool::WriteAux(const std::shared_ptr<Aux>& aux) {
  aux->connection->Send(aux->request,
                        [self = shared_from_this(), aux](Exchange exchange) {
                          AuxResult result;
                          result.exchange = std::move(exchange);
                          self->FinishAux(aux, std::move(result));
                        });
}

void LeafPool::FinishAux(const std::shared_ptr<Aux>& aux, AuxResult result) {
  if (closed_ || aux_.erase(aux) == 0) return;
  aux->timer.cancel();
  result.reused = aux->reused;
  Return(std::exchange(aux->connection, nullptr));
  aux->done(std::move(result));
  Pump();
}

void LeafPool::SendCancel(const model::CallId& id) {
  SendAux(FormatRequest("POST", "/v1/cancel", address_,
                        config::EncodeLeafCancel(id)),
          false, [](const AuxResult&) {});
}

std::string LeafPool::StatusRequest() const {
  return FormatRequest("GET", "/v1/status", address_, {});
}

model::LeafOutcome LeafPool::LossOutcome(const FlightPtr& flight,
                                         const AuxResult& result) {
  if (result.refused) return model::LeafOutcome::kLeafDied;
  const model::LeafStatus status = ReadStatusAnswer(result.exchange);
  if (!status.reachable) return model::LeafOutcome::kLost;
  incarnation_ = status.incarnation;
  const bool restarted =
      flight->incarnation != 0 && status.incarnation != flight->incarnation;
  return restarted ? model::LeafOutcome::kLeafDied : model::LeafOutcome::kLost;
}

bool LeafPool::SameProcess(const FlightPtr& flight, const AuxResult& result) {
  const model::LeafStatus status = StatusOf(result);
  return status.reachable && status.incarnation == flight->incarnation;
}

void LeafPool::Investigate(const FlightPtr& flight, int attempts) {
  const bool sent = SendAux(
      StatusRequest(), true,
      [self = shared_from_this(), flight, attempts](const AuxResult& result) {
        const bool cut_off = !result.refused && !result.timed_out &&
                             result.exchange.end != ExchangeEnd::kAnswered;
        if (cut_off && attempts + 1 < kProbeAttempts) {
          self->Investigate(flight, attempts + 1);
          return;
        }
        self->Report(flight, self->LossOutcome(flight, result));
        self->Forget(flight);
      });
  if (sent) return;
  Report(flight, model::LeafOutcome::kLost);
  Forget(flight);
}

void LeafPool::ProbeSilent(const FlightPtr& flight) {
  flight->probing = SendAux(
      StatusRequest(), true,
      [self = shared_from_this(), flight](const AuxResult& result) {
        if (flight->reported) return;
        // A living leaf may still run the call. Only idempotent work
        // moves; an order waits until its deadline for the answer.
        const bool order = flight->call.kind == model::RequestKind::kOrder;
        if (order && self->SameProcess(flight, result)) {
          flight->probing = false;
          return;
        }
        self->Drop(std::exchange(flight->connection, nullptr));
        // Idle connections took the same path and may be silent too.
        self->DropIdle();
        self->Report(flight, self->LossOutcome(flight, result));
        self->SendCancel(flight->call.id);
        self->Forget(flight);
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
  if (flights_.empty()) DropIdle();
  status_timer_.cancel();
}

void LeafPool::ReadStatus(bool fresh) {
  ReadStatusAfter(context_.options.status_interval);
  SendAux(StatusRequest(), fresh,
          [self = shared_from_this()](const AuxResult& result) {
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

model::LeafStatus LeafPool::ReadStatusAnswer(const Exchange& exchange) const {
  model::LeafStatus unread;
  unread.leaf = leaf_;
  if (exchange.end != ExchangeEnd::kAnswered ||
      exchange.response.result() != http::status::ok)
    return unread;
  const auto parsed = config::ParseLeafStatus(exchange.response.body());
  if (!parsed.value || parsed.value->leaf != leaf_) return unread;
  return *parsed.value;
}

model::LeafStatus LeafPool::StatusOf(const AuxResult& result) {
  model::LeafStatus status = ReadStatusAnswer(result.exchange);
  status.refused = result.refused;
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
                       known = incarnation_](const AuxResult& result) {
    self->verifying_ = false;
    model::LeafStatus status = self->StatusOf(result);
    const bool same =
        status.reachable && (known == 0 || status.incarnation == known);
    self->ReportStatus(std::move(status));
    if (!same) self->FailQueued();
    self->Pump();
  };
  if (!SendAux(StatusRequest(), true, verify)) verifying_ = false;
}

void LeafPool::OnStatusRead(const AuxResult& result) {
  if (!reads_status_) return;
  const bool answered = result.exchange.end == ExchangeEnd::kAnswered;
  if (!answered && result.reused) {
    // The pooled connection may be silent while the leaf is well.
    ReadStatus(true);
    return;
  }
  ReportStatus(StatusOf(result));
}

}  // namespace berylreach::transport
