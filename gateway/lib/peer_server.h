// Server for the requests of other hosts. Private to the package.
#pragma once

#include <string>

#include "berylreach/gateway/gateway.h"
#include "listener.h"

namespace berylreach::gateway {

/// Accepts the connections of other hosts for a gateway.
class Gateway::PeerServer : public ServerConnectionHandler {
 public:
  /// `gateway` must outlive the server.
  PeerServer(boost::asio::io_context& io, const std::string& address,
             Gateway& gateway);

 private:
  void OnRequest(ServerConnection& connection, HttpRequest request) override;
  void OnClosed(ServerConnection& connection) override;

  Gateway& gateway_;
  Listener listener_;
};

}  // namespace berylreach::gateway
