// Parses JSON text of limited size and depth.
#include "json_input.h"

#include <algorithm>

#include "berylreach/config/bounds.h"
#include "repeated_members.h"

namespace berylreach::config {
namespace {

/// The message of the finding for a parse error at `offset` in `text`.
std::string DescribeError(const json::error_code& error, std::string_view text,
                          std::size_t offset) {
  if (error == json::error::too_deep)
    return "is nested deeper than " + std::to_string(kMaxDepth) + " levels";
  if (error == json::error::incomplete) return "is not complete JSON";
  const auto lines = std::count(
      text.begin(),
      text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size())),
      '\n');
  return "is not valid JSON in UTF-8: " + error.message() + " in line " +
         std::to_string(lines + 1);
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view text,
                                     std::size_t max_bytes,
                                     base::Findings& findings) {
  if (text.size() > max_bytes) {
    findings.push_back(
        {"", "is longer than " + std::to_string(max_bytes) + " bytes"});
    return std::nullopt;
  }
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::parser parser({}, options);
  json::error_code error;
  const std::size_t offset = parser.write(text.data(), text.size(), error);
  if (error) {
    findings.push_back({"", DescribeError(error, text, offset)});
    return std::nullopt;
  }
  json::value value = parser.release();
  if (!RejectRepeatedMembers(text, value, findings)) return std::nullopt;
  return value;
}

std::string ChildLocation(std::string_view location, std::string_view child) {
  std::string result(location);
  result += '/';
  for (const char c : child) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

std::string ChildLocation(std::string_view location, std::size_t index) {
  return std::string(location) + '/' + std::to_string(index);
}

}  // namespace berylreach::config
