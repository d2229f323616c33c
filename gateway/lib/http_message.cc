// Header fields: lookup, the rules for hop-by-hop fields in HTTP/1.1, and the
// values of Keep-Alive and Retry-After.
#include "berylreach/gateway/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <system_error>

namespace berylreach::gateway {
namespace {

namespace beast = boost::beast;

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and fields that are generated
/// anew for each message.
constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "connection",          "keep-alive", "proxy-connection",
    "proxy-authenticate",  "te",         "trailer",
    "transfer-encoding",   "upgrade",    "content-length",
    "proxy-authorization", "expect"};

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// Parses a decimal number of at least zero. One with too many digits for the
/// type is the largest number.
std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (parsed.ptr != end || text.starts_with('-')) return std::nullopt;
  if (parsed.ec == std::errc::result_out_of_range)
    return std::numeric_limits<double>::max();
  if (parsed.ec != std::errc() || !std::isfinite(number)) return std::nullopt;
  return number;
}

}  // namespace

void HttpFields::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void HttpFields::AddTrailer(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value), true});
}

void HttpFields::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const Field& field) {
    return EqualsIgnoreCase(field.name, name);
  });
}

std::string_view HttpFields::Find(std::string_view name) const {
  for (const Field& field : fields_)
    if (EqualsIgnoreCase(field.name, name)) return field.value;
  return {};
}

std::vector<std::string_view> HttpFields::FindAll(std::string_view name) const {
  std::vector<std::string_view> values;
  for (const Field& field : fields_)
    if (EqualsIgnoreCase(field.name, name)) values.push_back(field.value);
  return values;
}

std::vector<std::string_view> HttpFields::FindAllInHeader(
    std::string_view name) const {
  std::vector<std::string_view> values;
  for (const Field& field : fields_)
    if (!field.in_trailer && EqualsIgnoreCase(field.name, name))
      values.push_back(field.value);
  return values;
}

bool HttpFields::Has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(),
                     [name](const Field& field) {
                       return EqualsIgnoreCase(field.name, name);
                     });
}

std::string HttpFields::ForwardedLines(
    const std::vector<std::string_view>& excluded) const {
  const std::string_view connection = Find("connection");
  beast::http::token_list connection_options(
      {connection.data(), connection.size()});
  std::string lines;
  for (const auto& [name, value, in_trailer] : fields_) {
    const auto is_name = [&key = name](std::string_view other) {
      return EqualsIgnoreCase(key, other);
    };
    if (std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), is_name) ||
        std::any_of(excluded.begin(), excluded.end(), is_name))
      continue;
    if (!connection.empty() &&
        connection_options.exists({name.data(), name.size()}))
      continue;
    lines.append(name).append(": ").append(value).append("\r\n");
  }
  return lines;
}

std::chrono::seconds KeepAliveTimeout(const HttpFields& fields) {
  constexpr std::string_view timeout_key = "timeout=";
  const std::string_view value = fields.Find("keep-alive");
  const std::size_t at = value.find(timeout_key);
  if (at == std::string_view::npos) return std::chrono::seconds(0);
  int seconds = 0;
  std::from_chars(value.data() + at + timeout_key.size(),
                  value.data() + value.size(), seconds);
  return std::chrono::seconds(std::max(0, seconds));
}

RetryAfter ParseRetryAfter(const HttpFields& fields) {
  RetryAfter result;
  for (const std::string_view value : fields.FindAll("retry-after")) {
    const auto seconds = ParseDecimal(value);
    if (!seconds) {
      result.malformed = true;
      continue;
    }
    const std::chrono::duration<double> longest = kMaxRetryAfter;
    const std::chrono::duration<double> wait(
        std::min(*seconds, longest.count()));
    result.wait = std::max(result.wait.value_or(std::chrono::milliseconds(0)),
                           std::chrono::ceil<std::chrono::milliseconds>(wait));
  }
  return result;
}

std::optional<double> ParseRateLimit(const HttpFields& fields,
                                     std::string_view name) {
  std::optional<double> limit;
  for (const std::string_view value : fields.FindAll(name)) {
    const auto rate = ParseDecimal(value);
    if (rate) limit = std::min(*rate, limit.value_or(*rate));
  }
  return limit;
}

}  // namespace berylreach::gateway
