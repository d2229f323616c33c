// Interface of the HTTP client of berylctl.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

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

/// The response to a request; nothing if no complete response arrived within
/// the client's timeout. The server may have executed the request nevertheless.
using HttpResult = std::optional<HttpResponse>;

/// Sends requests. An interface, so that tests need no network.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Sends requests at the same time, so that servers which do not respond
  /// delay the results by one timeout in all. Returns the results in the order
  /// of the requests.
  virtual std::vector<HttpResult> SendAll(
      const std::vector<HttpRequest>& requests) = 0;

  HttpResult Send(const HttpRequest& request) {
    return std::move(SendAll({request}).front());
  }
};

}  // namespace berylreach::berylctl
