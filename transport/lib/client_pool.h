// Requests with time limits over a small pool of connections.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "client_connection.h"
#include "io.h"

namespace berylreach::transport {

/// Sends requests to one address. Each request is written at most once; a
/// request that is not answered in time drops its connection. Belongs to one
/// thread. Used for the store and the host list.
class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  /// Gets kLost for every failure in which a byte may have left.
  using Done = std::function<void(Exchange)>;

  ClientPool(asio::io_context& context, std::string address);

  /// With `own_connection` the request uses a fresh connection that is closed
  /// afterwards.
  void Call(std::string request, std::chrono::milliseconds timeout,
            bool own_connection, Done done);

  /// Drops all calls without calling back.
  void Close();

  const std::string& address() const { return address_; }

 private:
  struct Pending;

  void Write(const std::shared_ptr<Pending>& call);
  void Finish(const std::shared_ptr<Pending>& call, Exchange exchange);
  std::shared_ptr<ClientConnection> TakeIdle();

  asio::io_context& context_;
  const std::string address_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::unordered_set<std::shared_ptr<Pending>> calls_;
};

}  // namespace berylreach::transport
