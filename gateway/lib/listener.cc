// Accept loop with a pause after errors.
#include "listener.h"

#include <utility>

#include "address.h"
#include "berylreach/host/log.h"

namespace berylreach::gateway {
namespace {

/// Time in which some connection usually ends and frees its descriptor.
constexpr std::chrono::milliseconds kErrorPause{50};

}  // namespace

Listener::Listener(boost::asio::io_context& io, const std::string& address,
                   OnSocket on_socket)
    : address_(address),
      acceptor_(io, ParseEndpoint(address).value()),
      pause_(io),
      on_socket_(std::move(on_socket)) {
  Accept();
}

void Listener::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

void Listener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      Pause(error);
      return;
    }
    on_socket_(std::move(socket));
    if (acceptor_.is_open()) Accept();
  });
}

void Listener::Pause(const boost::system::error_code& cause) {
  host::LogStateChange("accept_failed", address_, cause.message());
  pause_.expires_after(kErrorPause);
  pause_.async_wait([this](const boost::system::error_code& error) {
    if (!error && acceptor_.is_open()) Accept();
  });
}

}  // namespace berylreach::gateway
