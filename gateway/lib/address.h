// Parsing of addresses, and the read buffer of the sockets. Private to the
// package.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace berylreach::gateway {

/// Parses "IP:port"; returns nullopt if the text is malformed.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

/// Buffer shared by all sockets of the event loop's thread. The bytes of each
/// read are consumed before the next read.
struct ReadBuffer {
  static constexpr std::size_t kBytes = std::size_t{64} * 1024;
  static char* Data() {
    thread_local char data[kBytes];
    return data;
  }
};

}  // namespace berylreach::gateway
