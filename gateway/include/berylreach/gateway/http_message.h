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

/// Header and trailer fields in the order of their arrival.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);
  /// Adds a field that arrived after the body.
  void AddTrailer(std::string_view name, std::string_view value);
  /// Removes all fields named `name`, also those of the trailer.
  void Remove(std::string_view name);

  /// Returns the value of the first field named `name`, which is compared
  /// case-insensitively; empty if there is none.
  std::string_view Find(std::string_view name) const;
  /// Returns the values of all fields named `name`.
  std::vector<std::string_view> FindAll(std::string_view name) const;
  /// Returns the values of all fields named `name` that arrived before the
  /// body.
  std::vector<std::string_view> FindAllInHeader(std::string_view name) const;
  bool Has(std::string_view name) const;

  /// Formats the fields that are forwarded, as lines that end with CRLF. Leaves
  /// out hop-by-hop fields, fields that are generated anew for each message,
  /// and those in `excluded`.
  std::string ForwardedLines(
      const std::vector<std::string_view>& excluded) const;

  friend bool operator==(const HttpFields&, const HttpFields&) = default;

 private:
  struct Field {
    std::string name;
    std::string value;
    bool in_trailer = false;

    friend bool operator==(const Field&, const Field&) = default;
  };

  std::vector<Field> fields_;
};

/// A request of a caller or another host.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  bool keep_alive = true;
  /// Name of the tenant to which the request belongs; empty if it belongs to
  /// none.
  std::string tenant;
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
