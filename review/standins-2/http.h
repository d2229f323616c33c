// Blocking HTTP/1.1 over loopback: a server with one thread for each
// connection, and a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A request or a response. The names of fields are in lower case.
struct Message {
  /// Request line or status line.
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int Status() const {
    return std::atoi(start.substr(start.find(' ')).c_str());
  }
};

inline sockaddr_in Endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
  return endpoint;
}

/// Reads messages from one socket.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}

  /// Reads the next message; nothing if the connection ends or fails before it
  /// is complete, or at `deadline`. A response without a length is not read.
  std::optional<Message> Next(Clock::time_point deadline) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(deadline)) return std::nullopt;
    Message message = ParseHeader(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    const auto length = static_cast<std::size_t>(
        std::atoll(message.Field("content-length").c_str()));
    while (buffer_.size() < length)
      if (!Fill(deadline)) return std::nullopt;
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

 private:
  static Message ParseHeader(const std::string& header) {
    Message message;
    std::size_t at = header.find("\r\n");
    message.start = header.substr(0, at);
    at += 2;
    while (at < header.size()) {
      const std::size_t end = header.find("\r\n", at);
      const std::string line = header.substr(at, end - at);
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.fields[name] = line.substr(value);
      at = end + 2;
    }
    return message;
  }

  bool Fill(Clock::time_point deadline) {
    const auto left =
        std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
    if (left <= 0) return false;
    pollfd ready{socket_, POLLIN, 0};
    if (poll(&ready, 1,
             static_cast<int>(std::min<std::int64_t>(left, 60000))) <= 0)
      return false;
    char bytes[16384];
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int socket_;
  std::string buffer_;
};

inline bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

/// Returns the bytes of a response; `fields` holds whole lines.
inline std::string Response(int status, const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Whether the peer has closed the connection.
inline bool PeerHasClosed(int socket) {
  char byte = 0;
  const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Passes each request to a function that returns the bytes of the response.
/// No bytes mean that the connection returns nothing further.
class Server {
 public:
  using Handler = std::function<std::string(const Message&, int socket)>;

  Server(const std::string& address, Handler handler)
      : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in endpoint = Endpoint(address);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&endpoint),
             sizeof(endpoint)) != 0 ||
        listen(listener_, 512) != 0)
      throw std::runtime_error("cannot listen on " + address);
    socklen_t size = sizeof(endpoint);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&endpoint), &size);
    address_ = address.substr(0, address.rfind(':') + 1) +
               std::to_string(ntohs(endpoint.sin_port));
    std::thread([this] { Accept(); }).detach();
  }

  const std::string& address() const { return address_; }

  /// Closes all connections with a reset and refuses new ones.
  void Stop() {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    const std::lock_guard lock(mutex_);
    // Disconnecting a TCP socket resets the connection.
    const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
    for (const int connection : connections_)
      connect(connection, &none, sizeof(none));
  }

 private:
  void Accept() {
    while (true) {
      const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) return;
      {
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
      }
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }

  void Serve(int connection) {
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Reader reader(connection);
    while (const auto request =
               reader.Next(Clock::now() + std::chrono::hours(1))) {
      const std::string response = handler_(*request, connection);
      if (response.empty()) {
        // Silence until the peer gives up.
        while (!PeerHasClosed(connection))
          std::this_thread::sleep_for(milliseconds(20));
        break;
      }
      if (!SendAll(connection, response)) break;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
    close(connection);
  }

  Handler handler_;
  int listener_ = -1;
  std::string address_;
  std::mutex mutex_;
  std::set<int> connections_;
};

/// A kept connection of a client, which is opened again after a failure.
class Client {
 public:
  explicit Client(std::string address) : address_(std::move(address)) {}
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request and returns the response; nothing if there is none.
  std::optional<Message> Call(const std::string& bytes, milliseconds timeout) {
    if (socket_ >= 0 && PeerHasClosed(socket_)) Close();
    if (socket_ < 0 && !Open()) return std::nullopt;
    if (!SendAll(socket_, bytes)) {
      Close();
      return std::nullopt;
    }
    auto response = reader_->Next(Clock::now() + timeout);
    if (!response || response->Field("connection") == "close") Close();
    return response;
  }

 private:
  bool Open() {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in endpoint = Endpoint(address_);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&endpoint),
                sizeof(endpoint)) != 0) {
      Close();
      return false;
    }
    reader_.emplace(socket_);
    return true;
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }

  std::string address_;
  int socket_ = -1;
  std::optional<Reader> reader_;
};

}  // namespace standin
