// Encodes claims and grants as JSON objects.
#include "berylreach/gateway/quota_codec.h"

#include <boost/json.hpp>
#include <cmath>
#include <cstdint>
#include <utility>

namespace berylreach::gateway {
namespace {

/// Most tokens in a claim or grant, and the longest wait that an owner states.
constexpr double kMaxTokens = 1e6;
constexpr std::int64_t kMaxWaitMs = 60'000;
/// Longest name of a limit, a region or a host.
constexpr std::size_t kMaxNameBytes = 4096;

constexpr std::pair<forward::ClaimKind, std::string_view> kKinds[] = {
    {forward::ClaimKind::kForRequests, "requests"},
    {forward::ClaimKind::kForOwner, "owner"},
    {forward::ClaimKind::kRelease, "release"},
    {forward::ClaimKind::kWitness, "witness"}};
constexpr std::pair<forward::GrantStatus, std::string_view> kStatuses[] = {
    {forward::GrantStatus::kGranted, "granted"},
    {forward::GrantStatus::kEmpty, "empty"},
    {forward::GrantStatus::kNotOwner, "not_owner"},
    {forward::GrantStatus::kReleasedByNewcomer, "released_by_newcomer"}};

template <typename Value, std::size_t size>
std::string_view NameOf(const std::pair<Value, std::string_view> (&names)[size],
                        Value value) {
  for (const auto& [known, name] : names)
    if (known == value) return name;
  return "";
}

template <typename Value, std::size_t size>
std::optional<Value> ValueOf(
    const std::pair<Value, std::string_view> (&names)[size],
    const std::optional<std::string>& text) {
  for (const auto& [value, name] : names)
    if (text == name) return value;
  return std::nullopt;
}

std::optional<std::string> Text(const boost::json::object& object,
                                std::string_view name) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) return std::nullopt;
  const auto& text = member->get_string();
  if (text.size() > kMaxNameBytes) return std::nullopt;
  return std::string(text.data(), text.size());
}

/// Returns a finite number from 0 to `most`.
std::optional<double> Number(const boost::json::object& object,
                             std::string_view name, double most) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_number()) return std::nullopt;
  boost::json::error_code error;
  const auto value = member->to_number<double>(error);
  if (error || !std::isfinite(value) || value < 0 || value > most)
    return std::nullopt;
  return value;
}

std::optional<boost::json::object> ParseObject(std::string_view text) {
  if (text.size() > kMaxQuotaMessageBytes) return std::nullopt;
  boost::json::error_code error;
  auto root = boost::json::parse({text.data(), text.size()}, error);
  if (error || !root.is_object()) return std::nullopt;
  return std::move(root.get_object());
}

/// Returns the items of an array, each parsed by `parse`; nullopt if there is
/// no such array or any item is malformed.
template <typename Item>
std::optional<std::vector<Item>> Items(
    const boost::json::object& object, std::string_view name,
    std::optional<Item> (*parse)(const boost::json::object&)) {
  const auto* member = object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_array() ||
      member->get_array().size() > kMaxClaimsPerMessage)
    return std::nullopt;
  std::vector<Item> items;
  for (const auto& value : member->get_array()) {
    if (!value.is_object()) return std::nullopt;
    auto item = parse(value.get_object());
    if (!item) return std::nullopt;
    items.push_back(std::move(*item));
  }
  return items;
}

std::optional<forward::Claim> ParseClaim(const boost::json::object& object) {
  auto limit = Text(object, "limit");
  auto region = Text(object, "region");
  const auto kind = ValueOf(kKinds, Text(object, "for"));
  const auto tokens = Number(object, "tokens", kMaxTokens);
  if (!limit || !region || !kind || !tokens) return std::nullopt;
  return forward::Claim{.limit = std::move(*limit),
                        .region = std::move(*region),
                        .kind = *kind,
                        .tokens = *tokens,
                        .for_region = {},
                        .sent = {}};
}

std::optional<forward::Grant> ParseGrant(const boost::json::object& object) {
  auto limit = Text(object, "limit");
  const auto status = ValueOf(kStatuses, Text(object, "status"));
  const auto tokens = Number(object, "tokens", kMaxTokens);
  const auto wait = Number(object, "retry_after_ms", kMaxWaitMs);
  if (!limit || !status || !tokens || !wait) return std::nullopt;
  return forward::Grant{.limit = std::move(*limit),
                        .status = *status,
                        .tokens = *tokens,
                        .retry_after = std::chrono::milliseconds(
                            static_cast<std::int64_t>(*wait))};
}

}  // namespace

std::string FormatQuotaClaims(const QuotaClaims& claims) {
  boost::json::array items;
  for (const forward::Claim& claim : claims.claims)
    items.push_back({{"limit", claim.limit},
                     {"region", claim.region},
                     {"for", NameOf(kKinds, claim.kind)},
                     {"tokens", claim.tokens}});
  boost::json::object value;
  value["from"] = claims.from;
  value["claims"] = std::move(items);
  return boost::json::serialize(value);
}

std::optional<QuotaClaims> ParseQuotaClaims(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object) return std::nullopt;
  auto from = Text(*object, "from");
  auto claims = Items(*object, "claims", &ParseClaim);
  if (!from || !claims) return std::nullopt;
  return QuotaClaims{std::move(*from), std::move(*claims)};
}

std::string FormatQuotaGrants(const std::vector<forward::Grant>& grants) {
  boost::json::array items;
  for (const forward::Grant& grant : grants)
    items.push_back({{"limit", grant.limit},
                     {"status", NameOf(kStatuses, grant.status)},
                     {"tokens", grant.tokens},
                     {"retry_after_ms", grant.retry_after.count()}});
  boost::json::object value;
  value["grants"] = std::move(items);
  return boost::json::serialize(value);
}

std::optional<std::vector<forward::Grant>> ParseQuotaGrants(
    std::string_view text) {
  const auto object = ParseObject(text);
  if (!object) return std::nullopt;
  return Items(*object, "grants", &ParseGrant);
}

}  // namespace berylreach::gateway
