// A listening socket that accepts connections. Private to the package.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace berylreach::gateway {

/// Accepts connections at one address until it is closed. After an error, such
/// as a lack of file descriptors, it waits before the next attempt, since the
/// pending connection would fail again at once.
class Listener {
 public:
  using OnSocket = std::function<void(boost::asio::ip::tcp::socket)>;

  /// Throws boost::system::system_error if `address` cannot be bound.
  Listener(boost::asio::io_context& io, const std::string& address,
           OnSocket on_socket);

  void Close();
  bool is_open() const { return acceptor_.is_open(); }

 private:
  void Accept();
  void RetryLater(const boost::system::error_code& cause);

  std::string address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  OnSocket on_socket_;
};

}  // namespace berylreach::gateway
