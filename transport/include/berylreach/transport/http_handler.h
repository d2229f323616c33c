// Interface through which an HttpServer delivers requests.
#pragma once

#include "berylreach/transport/http_request.h"

namespace berylreach::transport {

/// Receives the requests of an HttpServer. All methods are called on the
/// server's thread and must not block.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Receives one complete request. The handler must call HttpServer::Respond
  /// or HttpServer::Abort exactly once for each request, from any thread,
  /// before or after this returns.
  virtual void OnRequest(HttpRequest request) = 0;

  /// Called when the connection of a request is closed before the request has a
  /// response. A response that is given afterwards is dropped.
  virtual void OnClientDisconnected(HttpToken token) = 0;
};

}  // namespace berylreach::transport
