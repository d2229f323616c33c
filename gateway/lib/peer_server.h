// Requests of other hosts. Private to the package.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "berylreach/gateway/gateway.h"

namespace berylreach::gateway {

/// Accepts the connections of other hosts for a gateway.
class Gateway::PeerServer : public ServerConnectionHandler {
 public:
  /// `gateway` must outlive the server.
  PeerServer(boost::asio::io_context& io, const std::string& address,
             Gateway& gateway);

 private:
  void Accept();
  void OnRequest(ServerConnection& connection, HttpRequest request) override;
  void OnClosed(ServerConnection& connection) override;

  boost::asio::ip::tcp::acceptor acceptor_;
  Gateway& gateway_;
};

}  // namespace berylreach::gateway
