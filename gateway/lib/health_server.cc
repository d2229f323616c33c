// Serves readiness checks and metrics.
#include "health_server.h"

#include <utility>
#include <vector>

#include "response_bytes.h"

namespace berylreach::gateway {

Gateway::HealthServer::HealthServer(boost::asio::io_context& io,
                                    const base::Clock& clock,
                                    const std::string& address,
                                    std::function<bool()> ready,
                                    std::function<std::string()> metrics)
    : clock_(clock),
      ready_(std::move(ready)),
      metrics_(std::move(metrics)),
      listener_(io, address, [this](boost::asio::ip::tcp::socket socket) {
        auto connection = std::make_shared<ServerConnection>(
            std::move(socket), *this, clock_, forward::CallerLimits{});
        connections_[connection.get()] = connection;
        connection->Start();
      }) {}

void Gateway::HealthServer::OnRequest(ServerConnection& connection,
                                      HttpRequest request) {
  const bool keep_alive = request.keep_alive;
  if (request.target == "/metrics") {
    connection.Respond(
        ResponseBytes(200, "OK", "Content-Type: text/plain; version=0.0.4\r\n",
                      metrics_(), keep_alive),
        keep_alive);
    return;
  }
  const int status = request.target != "/readyz" ? 404 : (ready_() ? 200 : 503);
  connection.Respond(
      ResponseBytes(status, ReasonOf(status), "", "", keep_alive), keep_alive);
}

void Gateway::HealthServer::OnClosed(ServerConnection& connection) {
  connections_.erase(&connection);
}

void Gateway::HealthServer::CheckTimeouts(base::TimePoint now) {
  // A copy, since a connection that times out is removed from connections_.
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CheckTimeouts(now);
}

}  // namespace berylreach::gateway
