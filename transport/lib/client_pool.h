// Sends requests with timeouts over a small pool of connections.
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

/// Sends requests to one address, the store or the host list. Each request is
/// written at most once; if it times out, its connection is closed. All methods
/// are called on one thread.
class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  /// Receives kLost after each failure in which a byte may have been sent.
  using Done = std::function<void(Exchange)>;

  ClientPool(asio::io_context& context, std::string address);

  /// Sends a request. With `dedicated_connection` it uses a new connection that
  /// is closed afterwards.
  void Call(std::string request, std::chrono::milliseconds timeout,
            bool dedicated_connection, Done done);

  /// Closes all connections; pending requests end without a callback.
  void Close();

  const std::string& address() const { return address_; }

 private:
  struct Pending;

  void Write(const std::shared_ptr<Pending>& call);
  void Finish(const std::shared_ptr<Pending>& call, Exchange exchange);
  /// Takes a usable idle connection; null if there is none.
  std::shared_ptr<ClientConnection> TakeIdle();

  asio::io_context& context_;
  const std::string address_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::unordered_set<std::shared_ptr<Pending>> calls_;
};

}  // namespace berylreach::transport
