// HTTP client of berylctl on Boost.Beast.
#pragma once

#include <chrono>

#include "berylreach/berylctl/http_client.h"

namespace berylreach::berylctl {

/// Sends each request on a connection of its own and blocks until all responses
/// have arrived.
class BeastHttpClient final : public HttpClient {
 public:
  /// `timeout` bounds each request from connecting to the end of its response.
  explicit BeastHttpClient(std::chrono::milliseconds timeout)
      : timeout_(timeout) {}

  std::vector<HttpResult> SendAll(
      const std::vector<HttpRequest>& requests) override;

 private:
  std::chrono::milliseconds timeout_;
};

}  // namespace berylreach::berylctl
