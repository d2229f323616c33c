// Sends requests with timeouts over a small pool of connections.
#include "client_pool.h"

#include <utility>

#include "endpoint.h"

namespace berylreach::transport {
namespace {

/// Maximum number of idle connections; further ones are closed.
constexpr std::size_t kMaxIdleConnections = 4;

}  // namespace

struct ClientPool::PendingRequest {
  PendingRequest(asio::io_context& context, std::string bytes,
                 Callback callback)
      : request(std::move(bytes)),
        on_result(std::move(callback)),
        timer(context) {}

  std::string request;
  Callback on_result;
  asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  /// Whether the connection may be kept for other requests.
  bool reusable_afterwards = true;
};

ClientPool::ClientPool(asio::io_context& context, base::ReceiveQuota& quota,
                       std::string address)
    : context_(context), quota_(quota), address_(std::move(address)) {}

void ClientPool::Send(std::string request, std::chrono::milliseconds timeout,
                      bool dedicated_connection, Callback on_result) {
  auto pending = std::make_shared<PendingRequest>(context_, std::move(request),
                                                  std::move(on_result));
  pending->reusable_afterwards = !dedicated_connection;
  pending_requests_.insert(pending);
  pending->timer.expires_after(timeout);
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const ErrorCode& error) {
        if (!error) self->Finish(pending, Exchange{});
      });
  if (!dedicated_connection) pending->connection = TakeIdle();
  if (pending->connection) {
    Write(pending);
    return;
  }
  pending->connection = std::make_shared<ClientConnection>(context_, quota_);
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) {
    asio::post(context_, [self = shared_from_this(), pending] {
      self->Finish(pending, {ExchangeOutcome::kNotWritten, {}});
    });
    return;
  }
  pending->connection->Connect(
      *endpoint, [self = shared_from_this(), pending](const ErrorCode& error) {
        if (error) {
          self->Finish(pending, {ExchangeOutcome::kNotWritten, {}});
        } else {
          self->Write(pending);
        }
      });
}

void ClientPool::Write(const std::shared_ptr<PendingRequest>& pending) {
  pending->connection->Send(
      std::move(pending->request),
      [self = shared_from_this(), pending](Exchange exchange) {
        self->Finish(pending, std::move(exchange));
      });
}

void ClientPool::Finish(const std::shared_ptr<PendingRequest>& pending,
                        Exchange exchange) {
  if (pending_requests_.erase(pending) == 0) return;
  pending->timer.cancel();
  const auto connection = std::exchange(pending->connection, nullptr);
  if (pending->reusable_afterwards && connection->reusable() &&
      idle_.size() < kMaxIdleConnections) {
    idle_.push_back(connection);
  } else {
    connection->Close();
  }
  pending->on_result(std::move(exchange));
}

std::shared_ptr<ClientConnection> ClientPool::TakeIdle() {
  while (!idle_.empty()) {
    const auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (!connection->IsStale()) return connection;
    connection->Close();
  }
  return nullptr;
}

void ClientPool::Close() {
  for (const auto& pending : pending_requests_) {
    pending->timer.cancel();
    if (pending->connection) pending->connection->Close();
  }
  pending_requests_.clear();
  for (const auto& connection : idle_) connection->Close();
  idle_.clear();
}

}  // namespace berylreach::transport
