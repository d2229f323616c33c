// HTTP messages that were received completely.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylreach::gateway {

/// Header fields in the order of their arrival.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);

  /// Returns the value of the first field named `name`, which is compared
  /// case-insensitively; empty if there is none.
  std::string_view Find(std::string_view name) const;
  /// Returns the values of all fields named `name`.
  std::vector<std::string_view> FindAll(std::string_view name) const;
  bool Has(std::string_view name) const;

  /// Formats the fields that are forwarded, as lines that end with CRLF. Leaves
  /// out hop-by-hop fields, fields that are generated anew for each message,
  /// and those in `excluded`.
  std::string ForwardedLines(
      const std::vector<std::string_view>& excluded) const;

  friend bool operator==(const HttpFields&, const HttpFields&) = default;

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// A request of a caller or another host.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  bool keep_alive = true;
};

/// A response of a leaf, another host or the store.
struct HttpResponse {
  int status = 0;
  std::string reason;
  HttpFields fields;
  std::string body;
};

/// Returns how long a peer keeps an idle connection open, from its Keep-Alive
/// field; zero if it does not say.
std::chrono::seconds KeepAliveTimeout(const HttpFields& fields);

/// Result of parsing the Retry-After fields of a response.
struct RetryAfter {
  /// The longest wait among the fields, at most kMaxRetryAfter. A field holds
  /// seconds, whole or with a fraction.
  std::optional<std::chrono::milliseconds> wait;
  /// A field held something else; that field is ignored.
  bool malformed = false;

  friend bool operator==(const RetryAfter&, const RetryAfter&) = default;
};

/// Longest wait that one response can request.
inline constexpr std::chrono::minutes kMaxRetryAfter{10};

RetryAfter ParseRetryAfter(const HttpFields& fields);

/// Returns the smallest number of calls per second among the fields called
/// `name`; empty if there is none. Fields that hold anything but a decimal
/// number of at least zero are ignored.
std::optional<double> ParseRateLimit(const HttpFields& fields,
                                     std::string_view name);

}  // namespace berylreach::gateway
