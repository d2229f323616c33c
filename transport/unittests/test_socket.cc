// Blocking sockets with which a test acts as the peer of a connection.
#include "test_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "collector.h"

namespace berylreach::transport {
namespace {

sockaddr_in Loopback(const std::string& port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(port)));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetReceiveTimeout(int fd) {
  const timeval limit{kConditionLimit.count(), 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

}  // namespace

TestSocket::TestSocket(int fd) : fd_(fd) {
  if (fd_ >= 0) SetReceiveTimeout(fd_);
}

TestSocket::TestSocket(TestSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), pending_(std::move(other.pending_)) {}

TestSocket& TestSocket::operator=(TestSocket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(peer_closed_, other.peer_closed_);
  std::swap(pending_, other.pending_);
  return *this;
}

TestSocket::~TestSocket() { Close(); }

TestSocket TestSocket::Connect(const std::string& address) {
  const sockaddr_in target = Loopback(address.substr(address.rfind(':') + 1));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
      0) {
    close(fd);
    return TestSocket();
  }
  return TestSocket(fd);
}

bool TestSocket::Write(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool TestSocket::ReadMore() {
  std::array<char, 4096> chunk{};
  const ssize_t count = recv(fd_, chunk.data(), chunk.size(), 0);
  if (count < 0 && errno == EAGAIN) return false;
  peer_closed_ = count <= 0;
  if (peer_closed_) return false;
  pending_.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

std::string TestSocket::ReadUntil(const std::string& end) {
  while (end.empty() || pending_.find(end) == std::string::npos)
    if (!ReadMore()) return std::exchange(pending_, std::string());
  const std::size_t size = pending_.find(end) + end.size();
  std::string taken = pending_.substr(0, size);
  pending_.erase(0, size);
  return taken;
}

std::string TestSocket::ReadHttp() {
  const std::string length_field = "Content-Length: ";
  std::string message = ReadUntil("\r\n\r\n");
  const std::size_t field = message.find(length_field);
  if (field == std::string::npos) return message;
  const std::size_t length =
      std::stoul(message.substr(field + length_field.size(), 12));
  while (pending_.size() < length)
    if (!ReadMore()) break;
  message += pending_.substr(0, length);
  pending_.erase(0, length);
  return message;
}

void TestSocket::Close(bool reset) {
  if (fd_ < 0) return;
  if (reset) {
    const linger discard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  }
  close(std::exchange(fd_, -1));
}

TestListener::TestListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in local = Loopback("0");
  socklen_t size = sizeof(local);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&local), size) != 0 ||
      listen(fd_, 64) != 0)
    return;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&local), &size);
  address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
  SetReceiveTimeout(fd_);
}

TestListener::~TestListener() { Close(); }

TestSocket TestListener::Accept() const {
  return TestSocket(accept(fd_, nullptr, nullptr));
}

void TestListener::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

}  // namespace berylreach::transport
