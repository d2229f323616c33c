// JSON encoding of claims and grants of shared limits, which hosts exchange.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylreach/forward/shared_limit.h"

namespace berylreach::gateway {

/// Path of the request `POST /berylreach/quota-claim`, whose body holds the
/// claims of one host and whose response holds a grant for each, in order.
inline constexpr std::string_view kQuotaClaimPath = "/berylreach/quota-claim";

/// Longest message, and most claims in one; longer ones are malformed.
inline constexpr std::size_t kMaxQuotaMessageBytes = 65536;
inline constexpr std::size_t kMaxClaimsPerMessage = 128;

/// The claims of a host.
struct QuotaClaims {
  /// The host that sends the claims.
  std::string from;
  std::vector<forward::Claim> claims;

  friend bool operator==(const QuotaClaims&, const QuotaClaims&) = default;
};

std::string FormatQuotaClaims(const QuotaClaims& claims);
/// Returns nullopt if any part of the text is malformed.
std::optional<QuotaClaims> ParseQuotaClaims(std::string_view text);

std::string FormatQuotaGrants(const std::vector<forward::Grant>& grants);
/// Returns nullopt if any part of the text is malformed.
std::optional<std::vector<forward::Grant>> ParseQuotaGrants(
    std::string_view text);

}  // namespace berylreach::gateway
