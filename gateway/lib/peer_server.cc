// Accepts connections of other hosts, with limits of their own.
#include "peer_server.h"

#include <algorithm>
#include <utility>

#include "berylreach/gateway/version_report_codec.h"

namespace berylreach::gateway {
namespace {

/// Header bytes beyond the callers' limit: other hosts forward the callers'
/// fields and add some of their own.
constexpr std::size_t kExtraHeaderBytes = 4096;

/// Longer than the time for which hosts keep idle connections to each other
/// (kHostIdleLimit of LeafConnections), so that the client closes first.
constexpr std::chrono::milliseconds kIdleTimeout{60000};

}  // namespace

Gateway::PeerServer::PeerServer(boost::asio::io_context& io,
                                const std::string& address, Gateway& gateway)
    : gateway_(gateway),
      listener_(io, address, [this](boost::asio::ip::tcp::socket socket) {
        forward::CallerLimits limits = gateway_.Limits();
        limits.max_header_bytes += kExtraHeaderBytes;
        limits.max_body_bytes =
            std::max(limits.max_body_bytes, kMaxVersionReportBytes);
        limits.idle_timeout = kIdleTimeout;
        gateway_.AddConnection(std::make_shared<ServerConnection>(
            std::move(socket), *this, gateway_.clock_, limits));
      }) {}

void Gateway::PeerServer::OnRequest(ServerConnection& connection,
                                    HttpRequest request) {
  gateway_.OnPeerRequest(connection, std::move(request));
}

void Gateway::PeerServer::OnClosed(ServerConnection& connection) {
  gateway_.OnClosed(connection);
}

}  // namespace berylreach::gateway
