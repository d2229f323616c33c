// Serialization of HTTP responses.
#include "response_bytes.h"

namespace berylreach::gateway {

std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

std::string ResponseBytes(int status, std::string_view reason,
                          std::string_view fields, std::string_view body,
                          bool keep_alive) {
  std::string bytes;
  bytes.reserve(fields.size() + body.size() + 128);
  bytes.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  bytes.append(reason).append("\r\n").append(fields);
  // Responses with these statuses have no body (RFC 9112, section 6.3).
  if (status != 204 && status != 304) {
    bytes.append("Content-Length: ").append(std::to_string(body.size()));
    bytes.append("\r\n");
  }
  if (!keep_alive) bytes.append("Connection: close\r\n");
  bytes.append("\r\n");
  if (status != 204 && status != 304) bytes.append(body);
  return bytes;
}

}  // namespace berylreach::gateway
