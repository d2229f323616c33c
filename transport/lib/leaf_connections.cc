// Opens, reuses and closes the connections to one leaf.
#include <utility>

#include "endpoint.h"
#include "leaf_pool.h"

namespace berylreach::transport {

void LeafPool::SetAddress(const std::string& address,
                          std::uint32_t max_connections) {
  max_connections_ = max_connections;
  if (address == address_) return;
  address_ = address;
  DropIdle();
}

void LeafPool::Open() {
  const auto connection =
      std::make_shared<ClientConnection>(context_.io, context_.quota);
  open_.insert(connection);
  ++opening_;
  const auto endpoint = ParseEndpoint(address_);
  const auto timer = std::make_shared<asio::steady_timer>(
      context_.io, context_.options.connect_timeout);
  const auto done = [self = shared_from_this(), connection,
                     timer](const ErrorCode& error) {
    if (self->closed_ || self->open_.count(connection) == 0) return;
    timer->cancel();
    self->OnOpened(connection, error);
  };
  if (!endpoint) {
    asio::post(context_.io, [done] { done(asio::error::invalid_argument); });
    return;
  }
  timer->async_wait([connection, done](const ErrorCode& error) {
    if (error) return;
    connection->Close();
    done(asio::error::timed_out);
  });
  connection->Connect(*endpoint, done);
}

LeafPool::ConnectionPtr LeafPool::TakeIdle() {
  bool stale = false;
  while (!idle_.empty()) {
    ConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    if (!connection->IsStale()) return connection;
    stale = true;
    Drop(connection);
  }
  all_connections_lost_ = stale && open_.empty();
  return nullptr;
}

void LeafPool::FailQueued() {
  for (const PendingCallPtr& pending : std::exchange(queue_, {})) {
    Report(pending, model::LeafOutcome::kNotSent, true);
    RemoveCall(pending);
  }
}

void LeafPool::ReturnToPool(const ConnectionPtr& connection) {
  if (connection->reusable() && open_.size() <= max_connections_) {
    idle_.push_back(connection);
  } else {
    Drop(connection);
  }
}

void LeafPool::Drop(const ConnectionPtr& connection) {
  if (!connection) return;
  connection->Close();
  open_.erase(connection);
}

void LeafPool::DropIdle() {
  for (const ConnectionPtr& connection : std::exchange(idle_, {}))
    Drop(connection);
}

void LeafPool::Close() {
  closed_ = true;
  status_timer_.cancel();
  for (const auto& [id, pending] : pending_calls_) pending->timer.cancel();
  for (const ConnectionPtr& connection : open_) connection->Close();
  open_.clear();
  idle_.clear();
  pending_calls_.clear();
  queue_.clear();
  control_requests_.clear();
}

}  // namespace berylreach::transport
