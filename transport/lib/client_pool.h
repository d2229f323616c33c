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

/// Sends requests to one address, that of the store or of the host list. Each
/// request is written at most once; if it times out, its connection is closed.
/// All methods are called on one thread.
class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  /// Receives the result of a request. A timeout is reported as kLost, because
  /// the request may have been sent.
  using Callback = std::function<void(Exchange)>;

  /// `quota` limits the incomplete answers, and must outlive the pool.
  ClientPool(asio::io_context& context, base::ReceiveQuota& quota,
             std::string address);

  /// Sends a request. With `dedicated_connection` it uses a new connection that
  /// is closed afterwards.
  void Send(std::string request, std::chrono::milliseconds timeout,
            bool dedicated_connection, Callback on_result);

  /// Closes all connections; pending requests end without a callback.
  void Close();

  const std::string& address() const { return address_; }

 private:
  struct PendingRequest;

  void Write(const std::shared_ptr<PendingRequest>& pending);
  void Finish(const std::shared_ptr<PendingRequest>& pending,
              Exchange exchange);
  /// Takes a usable idle connection; null if there is none.
  std::shared_ptr<ClientConnection> TakeIdle();

  asio::io_context& context_;
  base::ReceiveQuota& quota_;
  const std::string address_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::unordered_set<std::shared_ptr<PendingRequest>> pending_requests_;
};

}  // namespace berylreach::transport
