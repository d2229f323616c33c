// HTTP calls of the command line.
#pragma once

#include <optional>
#include <string>

namespace berylreach::berylctl {

/// One HTTP request.
struct HttpRequest {
  /// "IP:port".
  std::string address;
  /// "GET" or "PUT".
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// Status and body of an answer.
struct HttpAnswer {
  unsigned status = 0;
  std::string body;
};

/// Sends requests; an interface so that tests need no network.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Nothing if no whole answer came within the client's time limit. A request
  /// with effect may then have taken effect.
  virtual std::optional<HttpAnswer> Send(const HttpRequest& request) = 0;
};

}  // namespace berylreach::berylctl
