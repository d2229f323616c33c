// Connections of other hosts.
#include "peer_server.h"

#include <utility>

#include "address.h"

namespace berylreach::gateway {
namespace {

/// Other hosts send what callers sent and some fields of their own.
constexpr std::size_t kExtraHeaderBytes = 4096;

}  // namespace

Gateway::PeerServer::PeerServer(boost::asio::io_context& io,
                                const std::string& address, Gateway& gateway)
    : acceptor_(io, ParseEndpoint(address).value()), gateway_(gateway) {
  Accept();
}

void Gateway::PeerServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      forward::CallerLimits limits = gateway_.Limits();
      limits.max_header_bytes += kExtraHeaderBytes;
      auto connection = std::make_shared<ServerConnection>(
          std::move(socket), *this, gateway_.clock_, limits);
      gateway_.connections_[connection.get()] = connection;
      connection->Start();
    }
    Accept();
  });
}

void Gateway::PeerServer::OnRequest(ServerConnection& connection,
                                    HttpRequest request) {
  gateway_.OnPeerRequest(connection, std::move(request));
}

void Gateway::PeerServer::OnClosed(ServerConnection& connection) {
  gateway_.OnClosed(connection);
}

}  // namespace berylreach::gateway
