// The hosts as a balancer sees them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "exchange.h"
#include "request.h"

namespace berylreach::load {

/// Polls the readiness of all hosts and keeps their idle connections. Must
/// outlive the runs of `io`.
class Balancer {
 public:
  Balancer(asio::io_context& io, const std::vector<std::string>& addresses);

  /// Starts to poll; the polls go on until the loop is stopped.
  void Start();
  bool HasReadyHost() const;

  /// The next ready host, another one than that of the last attempt if there
  /// is one.
  std::optional<std::size_t> Choose(const Request& request);

  /// Sends the request to a host. `done` gets the reply; a host that did not
  /// reply counts as not ready until the next poll.
  void Post(std::size_t host, const Request& request, milliseconds limit,
            std::function<void(Reply)> done);

 private:
  struct Host {
    std::string address;
    bool ready = false;
    std::vector<tcp::socket> idle;
  };

  void Poll(std::size_t host);
  static std::optional<tcp::socket> TakeIdle(Host& host);
  static void Return(Host& host, std::optional<tcp::socket> socket,
                     Transfer transfer);

  asio::io_context& io_;
  std::vector<Host> hosts_;
  std::size_t next_host_ = 0;
};

}  // namespace berylreach::load
