// Receiver of HTTP requests.
#pragma once

#include "berylreach/transport/http_request.h"

namespace berylreach::transport {

/// Called on the thread of the HTTP server; must not block.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Every request gets exactly one HttpServer::Respond or Abort, from any
  /// thread, at once or later.
  virtual void OnRequest(HttpRequest request) = 0;

  /// The client closed the connection before the response. A response that is
  /// given nevertheless is dropped.
  virtual void OnClientGone(HttpToken token) = 0;
};

}  // namespace berylreach::transport
