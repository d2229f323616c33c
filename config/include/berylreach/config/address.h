// Network addresses in text form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylreach::config {

/// An IP address and a TCP port.
struct Address {
  /// IPv4 address in dotted form, or IPv6 address without brackets.
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

/// Parses an address of the form "10.0.0.7:8080" or "[::1]:8080"; returns
/// nullopt for any other text. Host names are not accepted.
std::optional<Address> ParseAddress(std::string_view text);

/// Whether the IP address is the unspecified address, 0.0.0.0 or ::.
bool IsUnspecified(const Address& address);

}  // namespace berylreach::config
