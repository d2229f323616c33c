// Identity of equal requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "berylreach/gateway/http_message.h"
#include "berylreach/gateway/wire_names.h"

namespace berylreach::gateway {

/// Equal for requests with the same method, host, target, caller and body,
/// whatever their ids and deadlines: each attempt of a caller has an id of its
/// own. Hosts compare it with each other.
std::uint64_t FingerprintOf(const HttpRequest& request, const WireNames& names);

/// The fingerprint as 16 hexadecimal digits.
std::string FormatFingerprint(std::uint64_t fingerprint);
/// Nothing if the text is malformed.
std::optional<std::uint64_t> ParseFingerprint(std::string_view text);

}  // namespace berylreach::gateway
