// A response that a handler passes to the HTTP server.
#pragma once

#include <string>
#include <vector>

namespace berylreach::transport {

/// One header field of a response.
struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// Status, body and additional header fields. The server sets Content-Length
/// and Connection itself.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpField> fields;

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace berylreach::transport
