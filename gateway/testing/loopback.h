// Servers and clients on the loopback interface, for tests of the gateway and
// of packages that depend on it.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "berylreach/gateway/server_connection.h"

namespace berylreach::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Longest wait for any condition.
inline constexpr std::chrono::seconds kWaitLimit{20};

/// Runs the event loop until `done` returns true; returns false after
/// kWaitLimit.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    io.restart();
    io.run_one_for(milliseconds(20));
  }
  return true;
}

inline tcp::acceptor Listen(asio::io_context& io) {
  return tcp::acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
}

inline std::string AddressOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}
inline std::string AddressOf(const tcp::acceptor& acceptor) {
  return AddressOf(acceptor.local_endpoint());
}
/// The endpoint with a well-formed address, the reverse of AddressOf.
inline tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/// Returns a loopback endpoint at which nothing listens and which no other call
/// returns. A socket that is bound to the port, but does not listen, reserves
/// it until this process ends: the system neither chooses the port for other
/// sockets nor lets sockets without SO_REUSEADDR bind to it. Servers that set
/// SO_REUSEADDR can still listen at the endpoint.
inline tcp::endpoint FreeEndpoint() {
  static asio::io_context io;
  static std::vector<tcp::acceptor> reserved;
  tcp::acceptor& acceptor = reserved.emplace_back(io, tcp::v4());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint();
}

/// Returns the address of a FreeEndpoint.
inline std::string FreeAddress() { return AddressOf(FreeEndpoint()); }

/// Returns the error of binding a socket without SO_REUSEADDR to `endpoint`,
/// which succeeds only if no other socket is bound to it.
inline boost::system::error_code BindError(const tcp::endpoint& endpoint) {
  asio::io_context io;
  tcp::socket socket(io, endpoint.protocol());
  boost::system::error_code error;
  socket.bind(endpoint, error);
  return error;
}

/// An HTTP server that passes its requests to a function.
class TestServer : public ServerConnectionHandler {
 public:
  using OnHttpRequest = std::function<void(ServerConnection&, HttpRequest)>;

  TestServer(asio::io_context& io, const base::Clock& clock,
             OnHttpRequest on_request)
      : acceptor_(Listen(io)),
        clock_(clock),
        on_request_(std::move(on_request)) {
    Accept();
  }

  ~TestServer() override { Stop(); }

  std::string address() const { return AddressOf(acceptor_); }
  /// Number of connections accepted so far.
  std::size_t accepted_connections() const { return accepted_; }
  /// Number of connections that are open now.
  std::size_t open_connections() const { return connections_.size(); }

  /// Closes all connections from the server's side.
  void CloseConnections() {
    for (const auto& connection : std::exchange(connections_, {}))
      connection->Close();
  }

  /// Stops listening and closes all connections.
  void Stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    CloseConnections();
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          ++accepted_;
          auto connection = std::make_shared<ServerConnection>(
              std::move(socket), *this, clock_, forward::CallerLimits{});
          connections_.push_back(connection);
          connection->Start();
          Accept();
        });
  }

  void OnRequest(ServerConnection& connection, HttpRequest request) override {
    on_request_(connection, std::move(request));
  }
  void OnClosed(ServerConnection& connection) override {
    std::erase_if(connections_, [&connection](const auto& other) {
      return other.get() == &connection;
    });
  }

  tcp::acceptor acceptor_;
  const base::Clock& clock_;
  OnHttpRequest on_request_;
  std::vector<std::shared_ptr<ServerConnection>> connections_;
  std::size_t accepted_ = 0;
};

/// A TCP client that sends raw bytes and collects the bytes that it receives.
class RawClient {
 public:
  RawClient(asio::io_context& io, const std::string& address)
      : io_(io), state_(std::make_shared<State>(io)) {
    state_->socket.connect(EndpointOf(address));
    Read(state_);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) {
    asio::write(state_->socket, asio::buffer(bytes));
  }
  void Close() {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
  }

  /// Waits until `text` appears in the received bytes; false after kWaitLimit.
  bool Expect(const std::string& text) {
    return RunUntil(
        io_, [&] { return state_->received.find(text) != std::string::npos; });
  }
  /// Waits until the server has closed the connection; false after kWaitLimit.
  bool ExpectEnd() {
    return RunUntil(io_, [&] { return state_->closed; });
  }
  std::string& received() { return state_->received; }

 private:
  /// Shared with the pending read, which may complete after the client is gone.
  struct State {
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool closed = false;
  };

  static void Read(const std::shared_ptr<State>& state) {
    state->socket.async_read_some(
        asio::buffer(state->buffer),
        [state](boost::system::error_code error, std::size_t size) {
          state->received.append(state->buffer.data(), size);
          state->closed = static_cast<bool>(error);
          if (!error) Read(state);
        });
  }

  asio::io_context& io_;
  std::shared_ptr<State> state_;
};

}  // namespace berylreach::gateway
