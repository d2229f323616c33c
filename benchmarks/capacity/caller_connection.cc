// HTTP connection of one simulated caller to its entry host.
#include "caller_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace berylreach::capacity {
namespace {

constexpr int kReceiveTimeoutSeconds = 10;
constexpr std::string_view kLengthField = "content-length:";

/// Value of the Content-Length field of an HTTP header; 0 if there is none.
std::size_t BodyLength(std::string header) {
  std::transform(header.begin(), header.end(), header.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const auto found = header.find(kLengthField);
  if (found == std::string::npos) return 0;
  return std::strtoul(header.c_str() + found + kLengthField.size(), nullptr,
                      10);
}

}  // namespace

CallerConnection::CallerConnection(std::string address)
    : address_(std::move(address)) {}

CallerConnection::~CallerConnection() { Close(); }

bool CallerConnection::Open() {
  if (socket_ >= 0) return true;
  const auto colon = address_.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(address_.c_str() + colon + 1, nullptr, 10)));
  const std::string ip = address_.substr(0, colon);
  if (inet_pton(AF_INET, ip.c_str(), &target.sin_addr) != 1) return false;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const timeval limit{kReceiveTimeoutSeconds, 0};
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0) {
    return true;
  }
  Close();
  return false;
}

void CallerConnection::Close() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
}

bool CallerConnection::Write(const std::string& bytes) const {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto sent =
        send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

std::string CallerConnection::ReadBody() {
  std::string text;
  std::size_t end = std::string::npos;
  std::array<char, 65536> buffer{};
  while (true) {
    if (end == std::string::npos) end = text.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t length = BodyLength(text.substr(0, end));
      if (text.size() >= end + 4 + length) return text.substr(end + 4, length);
    }
    const auto received = recv(socket_, buffer.data(), buffer.size(), 0);
    if (received <= 0) return {};
    text.append(buffer.data(), static_cast<std::size_t>(received));
  }
}

std::string CallerConnection::Post(const std::string& path,
                                   const std::string& body) {
  if (!Open()) return {};
  const std::string request =
      "POST " + path + " HTTP/1.1\r\nHost: " + address_ +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string response;
  if (Write(request)) response = ReadBody();
  if (response.empty()) Close();
  return response;
}

}  // namespace berylreach::capacity
