// Computes fingerprints with xxHash64.
#include "berylreach/gateway/request_fingerprint.h"

#include <charconv>
#include <cstdio>

#include "berylreach/base/hash.h"

namespace berylreach::gateway {
namespace {

/// Appends `part` with its length as a prefix, which delimits it, so that
/// different sequences of parts never yield the same text.
void AddPart(std::string& text, std::string_view part) {
  text.append(std::to_string(part.size())).append(":").append(part);
}

}  // namespace

std::uint64_t FingerprintOf(const HttpRequest& request,
                            const WireNames& names) {
  std::string text;
  AddPart(text, request.method);
  AddPart(text, request.fields.Find("host"));
  AddPart(text, request.target);
  for (const std::string& field : names.caller)
    AddPart(text, request.fields.Find(field));
  if (!request.tenant.empty()) AddPart(text, request.tenant);
  AddPart(text, FormatFingerprint(base::Hash64(request.body)));
  return base::Hash64(text);
}

std::string FormatFingerprint(std::uint64_t fingerprint) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(fingerprint));
  return digits;
}

std::optional<std::uint64_t> ParseFingerprint(std::string_view text) {
  constexpr std::size_t digits = 16;
  constexpr int base = 16;
  std::uint64_t fingerprint = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, fingerprint, base);
  if (text.size() != digits || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return fingerprint;
}

}  // namespace berylreach::gateway
