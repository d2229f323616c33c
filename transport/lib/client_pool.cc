// Sends requests with timeouts over a small pool of connections.
#include "client_pool.h"

#include <utility>

#include "endpoint.h"

namespace berylreach::transport {
namespace {

/// Maximum number of idle connections; further ones are closed.
constexpr std::size_t kMaxIdleConnections = 4;

}  // namespace

struct ClientPool::Pending {
  Pending(asio::io_context& context, std::string bytes, Done callback)
      : request(std::move(bytes)), done(std::move(callback)), timer(context) {}

  std::string request;
  Done done;
  asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  /// Whether the connection may be kept for other requests.
  bool reusable_afterwards = true;
};

ClientPool::ClientPool(asio::io_context& context, std::string address)
    : context_(context), address_(std::move(address)) {}

void ClientPool::Call(std::string request, std::chrono::milliseconds timeout,
                      bool dedicated_connection, Done done) {
  auto call =
      std::make_shared<Pending>(context_, std::move(request), std::move(done));
  call->reusable_afterwards = !dedicated_connection;
  calls_.insert(call);
  call->timer.expires_after(timeout);
  call->timer.async_wait(
      [self = shared_from_this(), call](const ErrorCode& error) {
        if (!error) self->Finish(call, Exchange{});
      });
  if (!dedicated_connection) call->connection = TakeIdle();
  if (call->connection) {
    Write(call);
    return;
  }
  call->connection = std::make_shared<ClientConnection>(context_);
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) {
    asio::post(context_, [self = shared_from_this(), call] {
      self->Finish(call, {ExchangeOutcome::kNotWritten, {}});
    });
    return;
  }
  call->connection->Connect(
      *endpoint, [self = shared_from_this(), call](const ErrorCode& error) {
        if (error) {
          self->Finish(call, {ExchangeOutcome::kNotWritten, {}});
        } else {
          self->Write(call);
        }
      });
}

void ClientPool::Write(const std::shared_ptr<Pending>& call) {
  call->connection->Send(std::move(call->request),
                         [self = shared_from_this(), call](Exchange exchange) {
                           self->Finish(call, std::move(exchange));
                         });
}

void ClientPool::Finish(const std::shared_ptr<Pending>& call,
                        Exchange exchange) {
  if (calls_.erase(call) == 0) return;
  call->timer.cancel();
  const auto connection = std::exchange(call->connection, nullptr);
  if (call->reusable_afterwards && connection->reusable() &&
      idle_.size() < kMaxIdleConnections) {
    idle_.push_back(connection);
  } else {
    connection->Close();
  }
  call->done(std::move(exchange));
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
  for (const auto& call : calls_) {
    call->timer.cancel();
    if (call->connection) call->connection->Close();
  }
  calls_.clear();
  for (const auto& connection : idle_) connection->Close();
  idle_.clear();
}

}  // namespace berylreach::transport
