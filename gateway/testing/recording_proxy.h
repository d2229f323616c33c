// A TCP proxy on loopback that records the bytes sent to its target, for tests
// of what leaves a host.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "loopback.h"

namespace berylreach::gateway {

/// Passes bytes in both directions and keeps those from the clients.
class RecordingProxy {
 public:
  RecordingProxy(asio::io_context& io, const std::string& target)
      : state_(std::make_shared<State>(io, target)) {
    Accept(state_);
  }
  ~RecordingProxy() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
  }

  std::string address() const { return AddressOf(state_->acceptor); }
  /// The bytes that clients have sent so far.
  const std::string& sent() const { return state_->sent; }

 private:
  struct State {
    State(asio::io_context& context, const std::string& target_address)
        : io(context),
          acceptor(Listen(context)),
          target(EndpointOf(target_address)) {}
    asio::io_context& io;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::string sent;
  };
  using Socket = std::shared_ptr<tcp::socket>;

  static void Accept(const std::shared_ptr<State>& state) {
    state->acceptor.async_accept(
        [state](boost::system::error_code error, tcp::socket accepted) {
          if (error) return;
          auto client = std::make_shared<tcp::socket>(std::move(accepted));
          auto server = std::make_shared<tcp::socket>(state->io);
          boost::system::error_code failed;
          server->connect(state->target, failed);
          if (!failed) {
            Pump(state, client, server, /*recorded=*/true);
            Pump(state, server, client, /*recorded=*/false);
          }
          Accept(state);
        });
  }

  static void Pump(const std::shared_ptr<State>& state, const Socket& from,
                   const Socket& to, bool recorded) {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    from->async_read_some(
        asio::buffer(*buffer),
        [state, from, to, recorded, buffer](boost::system::error_code error,
                                            std::size_t size) {
          boost::system::error_code ignored;
          if (error) {
            to->close(ignored);
            return;
          }
          if (recorded) state->sent.append(buffer->data(), size);
          asio::write(*to, asio::buffer(*buffer, size), ignored);
          Pump(state, from, to, recorded);
        });
  }

  std::shared_ptr<State> state_;
};

}  // namespace berylreach::gateway
