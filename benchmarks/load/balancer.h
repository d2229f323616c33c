// Load balancer of the simulated callers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "exchange.h"
#include "request.h"

namespace berylreach::load {

/// Polls the readiness of all hosts, chooses hosts in turn and pools idle
/// connections. Must outlive all handlers that run on `io`.
class Balancer {
 public:
  Balancer(asio::io_context& io, const std::vector<std::string>& addresses);

  /// Starts to poll all hosts; polling continues until `io` is stopped.
  void Start();
  bool HasReadyHost() const;

  /// Returns the index of the next ready host in turn; empty if no host is
  /// ready. A retry goes to the host of the last attempt only if no other host
  /// is ready.
  std::optional<std::size_t> ChooseHost(const Request& request);

  /// Sends the request to a host and passes the reply to `done`, at the latest
  /// after `limit`. A host that did not reply counts as not ready until the
  /// next poll.
  void Post(std::size_t host, const Request& request, milliseconds limit,
            std::function<void(Reply)> done);

 private:
  struct Host {
    std::string address;
    bool ready = false;
    std::vector<tcp::socket> idle_connections;
  };

  void PollReadiness(std::size_t host);
  static std::optional<tcp::socket> TakeIdleConnection(Host& host);
  static void ReturnConnection(Host& host, std::optional<tcp::socket> socket,
                               ExchangeOutcome outcome);

  asio::io_context& io_;
  std::vector<Host> hosts_;
  std::size_t next_host_ = 0;
};

}  // namespace berylreach::load
