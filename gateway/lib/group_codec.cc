// Encodes the parameters of a group of shards as JSON in one line.
#include "berylreach/gateway/group_codec.h"

#include <boost/json.hpp>

#include "berylreach/base/hash.h"
#include "berylreach/config/base64.h"

namespace berylreach::gateway {
namespace {

constexpr std::string_view kSeparator = ", ";

template <typename T>
bool ReadNumber(const boost::json::object& object, std::string_view name,
                T& value) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr) return false;
  boost::json::error_code error;
  value = member->to_number<T>(error);
  return !error;
}

bool ReadShards(const boost::json::object& object,
                std::vector<std::size_t>& shards) {
  const auto* member = object.if_contains("shards");
  if (member == nullptr || !member->is_array()) return false;
  for (const auto& item : member->get_array()) {
    boost::json::error_code error;
    const auto shard = item.to_number<std::size_t>(error);
    if (error || (!shards.empty() && shard <= shards.back())) return false;
    shards.push_back(shard);
  }
  return !shards.empty();
}

}  // namespace

std::uint64_t ShardDigest(const forward::Route& route) {
  std::string names = route.name + "\n" + std::to_string(route.top_records) +
                      "\n" + std::to_string(route.attempts);
  for (const std::string& shard : route.shards) names.append("\n" + shard);
  return base::Hash64(names);
}

std::string FormatGroupHeader(const GroupHeader& header) {
  boost::json::array shards;
  shards.reserve(header.shards.size());
  for (const std::size_t shard : header.shards) shards.emplace_back(shard);
  boost::json::object root;
  root["version"] = header.version;
  root["digest"] = header.digest;
  root["allowed_missing"] = header.allowed_missing;
  root["may_skip"] = header.may_skip;
  root["partial_in_ms"] = header.partial_in.count();
  if (header.repeats) root["repeats"] = true;
  root["shards"] = std::move(shards);
  return boost::json::serialize(root);
}

std::optional<GroupHeader> ParseGroupHeader(std::string_view text) {
  boost::json::error_code error;
  const auto root = boost::json::parse({text.data(), text.size()}, error);
  if (error || !root.is_object()) return std::nullopt;
  const auto& object = root.get_object();
  GroupHeader header;
  std::int32_t partial_in_ms = 0;
  const bool valid =
      ReadNumber(object, "version", header.version) &&
      ReadNumber(object, "digest", header.digest) &&
      ReadNumber(object, "allowed_missing", header.allowed_missing) &&
      ReadNumber(object, "partial_in_ms", partial_in_ms) &&
      ReadShards(object, header.shards);
  if (!valid) return std::nullopt;
  // Hosts of an older version do not send this member.
  if (!ReadNumber(object, "may_skip", header.may_skip)) header.may_skip = 0;
  header.repeats = object.contains("repeats");
  header.partial_in = std::chrono::milliseconds(partial_in_ms);
  return header;
}

std::string FormatRecords(const std::string& records) {
  return config::EncodeBase64(records);
}

std::optional<std::string> ParseRecords(std::string_view text) {
  return config::DecodeBase64(text);
}

std::string JoinSignatures(const std::vector<std::string>& signatures) {
  std::string text;
  for (const std::string& signature : signatures) {
    if (!text.empty()) text.append(kSeparator);
    text.append(signature);
  }
  return text;
}

std::vector<std::string> SplitSignatures(std::string_view text) {
  std::vector<std::string> signatures;
  while (!text.empty()) {
    const std::size_t end = text.find(kSeparator);
    signatures.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + kSeparator.size());
  }
  return signatures;
}

}  // namespace berylreach::gateway
