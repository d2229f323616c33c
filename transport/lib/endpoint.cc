// Parses and formats IP endpoints.
#include "endpoint.h"

#include <charconv>
#include <cstdint>

namespace berylreach::transport {

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return std::nullopt;
  ErrorCode failure;
  const auto address = asio::ip::make_address(host, failure);
  if (failure) return std::nullopt;
  return tcp::endpoint(address, port);
}

std::string ToString(const tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

}  // namespace berylreach::transport
