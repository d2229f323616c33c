// HTTP/1.1 server for callers, operators and the platform.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/transport/bind_error.h"
#include "berylreach/transport/http_handler.h"
#include "berylreach/transport/http_response.h"
#include "berylreach/transport/io_thread.h"

namespace berylreach::transport {

/// Addresses and limits of an HttpServer.
struct HttpServerOptions {
  /// IP address and port of each listener; port 0 takes any free port.
  std::vector<std::string> addresses;
  /// Maximum size of the request line and header in bytes; a larger one is
  /// answered with 431.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// Maximum size of a body in bytes; a larger one is answered with 413.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// Maximum number of open connections; further ones are answered with 503
  /// and closed.
  std::size_t max_connections = 2048;
  /// Maximum number of unanswered requests of one connection; further ones are
  /// not read until the first of them is answered.
  std::size_t max_pipelined = 4;
  /// Time after which a connection without a request, or with an incomplete
  /// one, is closed.
  std::chrono::milliseconds idle_timeout{60'000};
};

/// Serves keep-alive connections. Pipelined requests are answered in order.
/// Invalid requests are answered with a JSON refusal and their connection is
/// closed. All methods may be called from any thread.
class HttpServer {
 public:
  struct Impl;

  /// Binds all addresses and starts accepting. `handler` and `thread` must
  /// outlive the server.
  static BindResult<std::unique_ptr<HttpServer>> Open(IoThread& thread,
                                                      HttpServerOptions options,
                                                      HttpHandler& handler);
  /// Closes all connections; afterwards the handler is not called again.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Bound addresses in the order of HttpServerOptions::addresses.
  const std::vector<std::string>& addresses() const;

  /// Answers a request. A response with an unknown token, or to a request that
  /// is already answered, is ignored.
  void Respond(HttpToken token, HttpResponse response);

  /// Closes the connection of a request without answering the request.
  void Abort(HttpToken token);

  /// Closes the listeners. From then on a connection is closed after a
  /// response, unless the client has already sent further input.
  void StopAccepting();

  /// Closes connections on which no request is open or arriving.
  void CloseIdle();

  /// Number of requests that were received and not yet answered in full.
  std::size_t open_requests() const;

  /// Number of open connections.
  std::size_t open_connections() const;

  /// Runs `task` on the server's thread after `delay`, unless the server is
  /// destroyed first.
  void RunAfter(std::chrono::microseconds delay, std::function<void()> task);

 private:
  explicit HttpServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace berylreach::transport
