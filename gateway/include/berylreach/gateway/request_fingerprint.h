// Fingerprints that identify attempts of the same request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/gateway/http_message.h"
#include "berylreach/gateway/wire_names.h"

namespace berylreach::gateway {

/// Returns a hash of the method, host, target, caller, tenant and body of a
/// request.
/// Request ids and timeouts are left out, since they differ between attempts of
/// the same request. Hosts exchange fingerprints, so all hosts must compute the
/// same one.
std::uint64_t FingerprintOf(const HttpRequest& request, const WireNames& names);

/// Formats the fingerprint as 16 hexadecimal digits.
std::string FormatFingerprint(std::uint64_t fingerprint);
/// Returns nullopt if the text is malformed.
std::optional<std::uint64_t> ParseFingerprint(std::string_view text);

}  // namespace berylreach::gateway
