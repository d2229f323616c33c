// A request received by the HTTP server.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylreach::transport {

/// Identifies one request of one connection. A process never reuses a token.
struct HttpToken {
  std::uint64_t connection = 0;
  std::uint64_t request = 0;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const HttpToken&, const HttpToken&) = default;
};

/// A complete HTTP request.
struct HttpRequest {
  HttpToken token;
  /// Upper-case method, such as "POST".
  std::string method;
  /// Path and query as received, such as "/v1/query".
  std::string target;
  std::string body;
  /// Index of the address in HttpServerOptions::addresses that received it.
  std::size_t listener = 0;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace berylreach::transport
