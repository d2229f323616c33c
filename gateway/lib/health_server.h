// Server of readiness checks and metrics. Private to the package.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "berylreach/gateway/gateway.h"
#include "listener.h"

namespace berylreach::gateway {

/// Responds to GET /readyz with status 200 or 503, and to GET /metrics with the
/// metrics as text.
class Gateway::HealthServer : public ServerConnectionHandler {
 public:
  HealthServer(boost::asio::io_context& io, const base::Clock& clock,
               const std::string& address, std::function<bool()> ready,
               std::function<std::string()> metrics);

  void CheckTimeouts(base::TimePoint now);

 private:
  void OnRequest(ServerConnection& connection, HttpRequest request) override;
  void OnClosed(ServerConnection& connection) override;

  const base::Clock& clock_;
  std::function<bool()> ready_;
  std::function<std::string()> metrics_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
  Listener listener_;
};

}  // namespace berylreach::gateway
