// Interface through which an HttpServer passes on its requests.
#pragma once

#include "berylreach/transport/http_request.h"

namespace berylreach::transport {

/// Called on the thread of the HTTP server; must not block.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Receives one complete request. The handler must call HttpServer::Respond
  /// or HttpServer::Abort exactly once for each request, from any thread,
  /// before or after this returns.
  virtual void OnRequest(HttpRequest request) = 0;

  /// The connection was closed before the request had a response. A response
  /// that is given afterwards is dropped.
  virtual void OnClientDisconnected(HttpToken token) = 0;
};

}  // namespace berylreach::transport
