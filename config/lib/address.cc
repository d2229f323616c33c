// Parses network addresses.
#include "berylreach/config/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace berylreach::config {
namespace {

bool IsIp(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  if (text.empty() || result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return port;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  const std::string ip(text.substr(0, colon));
  // inet_pton stops at a zero byte and would ignore the rest of the text.
  if (ip.find('\0') != std::string::npos) return std::nullopt;
  if (IsIp(AF_INET, ip)) return Address{ip, *port};
  if (ip.size() < 2 || ip.front() != '[' || ip.back() != ']')
    return std::nullopt;
  const std::string inner = ip.substr(1, ip.size() - 2);
  if (!IsIp(AF_INET6, inner)) return std::nullopt;
  return Address{inner, *port};
}

bool IsUnspecified(const Address& address) {
  if (address.ip == "0.0.0.0") return true;
  in6_addr bytes{};
  return inet_pton(AF_INET6, address.ip.c_str(), &bytes) == 1 &&
         IN6_IS_ADDR_UNSPECIFIED(&bytes);
}

}  // namespace berylreach::config
