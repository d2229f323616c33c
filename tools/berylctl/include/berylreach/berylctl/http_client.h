// Interface of the HTTP client of berylctl.
#pragma once

#include <optional>
#include <string>

namespace berylreach::berylctl {

/// An HTTP request, with the address of the server.
struct HttpRequest {
  /// "IP:port".
  std::string address;
  /// "GET" or "PUT".
  std::string method;
  /// Path and query string.
  std::string target;
  std::string body;
};

/// Status and body of an HTTP response.
struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

/// Sends requests. An interface, so that tests need no network.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Returns nothing if no complete response arrived within the client's
  /// timeout. The server may have executed the request nevertheless.
  virtual std::optional<HttpResponse> Send(const HttpRequest& request) = 0;
};

}  // namespace berylreach::berylctl
