// HTTP client over TCP.
#pragma once

#include <chrono>

#include "berylreach/berylctl/http_client.h"

namespace berylreach::berylctl {

/// Opens one connection for each request and blocks until the answer.
class BeastHttpClient final : public HttpClient {
 public:
  /// `limit` bounds each request from connecting to the end of the answer.
  explicit BeastHttpClient(std::chrono::milliseconds limit) : limit_(limit) {}

  std::optional<HttpAnswer> Send(const HttpRequest& request) override;

 private:
  std::chrono::milliseconds limit_;
};

}  // namespace berylreach::berylctl
