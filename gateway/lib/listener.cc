// Accept loop that waits after an error.
#include "listener.h"

#include <utility>

#include "address.h"
#include "berylreach/host/log.h"

namespace berylreach::gateway {
namespace {

/// Delay after an error, within which usually some connection is closed and
/// frees its file descriptor.
constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

Listener::Listener(boost::asio::io_context& io, const std::string& address,
                   OnSocket on_socket)
    : address_(address),
      acceptor_(io, ParseEndpoint(address).value()),
      retry_timer_(io),
      on_socket_(std::move(on_socket)) {
  Accept();
}

void Listener::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void Listener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      RetryLater(error);
      return;
    }
    on_socket_(std::move(socket));
    if (acceptor_.is_open()) Accept();
  });
}

void Listener::RetryLater(const boost::system::error_code& cause) {
  host::LogStateChange("accept_failed", address_, cause.message());
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && acceptor_.is_open()) Accept();
  });
}

}  // namespace berylreach::gateway
