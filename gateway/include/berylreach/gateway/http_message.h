// HTTP messages read whole.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylreach::gateway {

/// Header fields in the order in which they came.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);

  /// The value of the first field of that name, without regard to case; empty
  /// if there is none.
  std::string_view Find(std::string_view name) const;
  /// The values of all fields of that name.
  std::vector<std::string_view> FindAll(std::string_view name) const;
  bool Has(std::string_view name) const;

  /// The fields that concern both ends of a message and not one connection
  /// only, except those in `without`, as lines with CRLF.
  std::string ForwardedLines(
      const std::vector<std::string_view>& without) const;

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// A request of a caller.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  bool keep_alive = true;
};

/// A response of a leaf or of the store.
struct HttpResponse {
  int status = 0;
  std::string reason;
  HttpFields fields;
  std::string body;
};

/// How long a peer keeps an idle connection, from its Keep-Alive field; zero if
/// it says nothing.
std::chrono::seconds KeepAliveTimeout(const HttpFields& fields);

/// What Retry-After fields ask for.
struct RetryAfter {
  /// The longest time in seconds, whole or with a fraction, cut to a bound.
  std::optional<std::chrono::milliseconds> wait;
  /// A field held something else; it counts as absent.
  bool malformed = false;

  friend bool operator==(const RetryAfter&, const RetryAfter&) = default;
};

/// Longest time that one answer can ask for.
inline constexpr std::chrono::minutes kLongestRetryAfter{10};

RetryAfter ParseRetryAfter(const HttpFields& fields);

}  // namespace berylreach::gateway
