#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

sockaddr_in ToEndpoint(const std::string& ip, int port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
  return endpoint;
}

void Prepare(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(socket, F_SETFL, O_NONBLOCK);
  fcntl(socket, F_SETFD, FD_CLOEXEC);
}

}  // namespace

std::string HttpMessage::Field(std::string_view name) const {
  const std::string wanted(name);
  for (const auto& [key, value] : fields)
    if (strcasecmp(key.c_str(), wanted.c_str()) == 0) return value;
  return {};
}

std::string HttpMessage::Word(std::size_t index) const {
  std::istringstream words(first_line);
  std::string word;
  for (std::size_t i = 0; i <= index; ++i)
    if (!(words >> word)) return {};
  return word;
}

int HttpMessage::Status() const { return std::atoi(Word(1).c_str()); }

std::optional<HttpMessage> TakeMessage(std::string& buffer) {
  const std::size_t head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  HttpMessage message;
  std::istringstream head(buffer.substr(0, head_end));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    message.fields.emplace_back(
        line.substr(0, colon),
        begin == std::string::npos ? "" : line.substr(begin));
  }
  const std::size_t length = std::strtoul(
      message.Field("Content-Length").c_str(), nullptr, /*base=*/10);
  const std::size_t body = head_end + 4;
  if (buffer.size() < body + length) return std::nullopt;
  message.body = buffer.substr(body, length);
  buffer.erase(0, body + length);
  return message;
}

std::string FormatResponse(int status, const std::string& fields,
                           const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::HttpServer(EventLoop& loop, const std::string& ip, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in endpoint = ToEndpoint(ip, 0);
  auto* address = reinterpret_cast<sockaddr*>(&endpoint);
  socklen_t size = sizeof(endpoint);
  if (bind(listener_, address, size) != 0 || listen(listener_, 512) != 0 ||
      getsockname(listener_, address, &size) != 0) {
    std::perror("cannot listen");
    std::exit(2);
  }
  Prepare(listener_);
  address_ = ip + ":" + std::to_string(ntohs(endpoint.sin_port));
  loop_.Watch(listener_, [this] { Accept(); }, {});
}

HttpServer::~HttpServer() {
  for (const auto& connection : std::set(connections_)) Close(connection);
  loop_.Unwatch(listener_);
  close(listener_);
}

void HttpServer::Accept() {
  const int socket = accept(listener_, nullptr, nullptr);
  if (socket < 0) return;
  Prepare(socket);
  auto connection = std::make_shared<Connection>();
  connection->socket = socket;
  connections_.insert(connection);
  WatchConnection(connection);
}

void HttpServer::WatchConnection(
    const std::shared_ptr<Connection>& connection) {
  EventLoop::Action writable;
  if (!connection->unsent.empty())
    writable = [this, connection] { Write(connection); };
  loop_.Watch(
      connection->socket, [this, connection] { Read(connection); }, writable);
}

void HttpServer::Read(const std::shared_ptr<Connection>& connection) {
  char bytes[65536];
  const ssize_t size = read(connection->socket, bytes, sizeof(bytes));
  if (size < 0 && errno == EAGAIN) return;
  if (size <= 0) {
    Close(connection);
    return;
  }
  connection->received.append(bytes, static_cast<std::size_t>(size));
  while (connection->open && !dark_) {
    const auto request = TakeMessage(connection->received);
    if (!request) return;
    handler_(connection, *request);
  }
}

void HttpServer::Send(const std::shared_ptr<Connection>& connection,
                      const std::string& bytes) {
  if (!connection->open || dark_) return;
  connection->unsent.append(bytes);
  Write(connection);
}

void HttpServer::Write(const std::shared_ptr<Connection>& connection) {
  const ssize_t size =
      send(connection->socket, connection->unsent.data(),
           connection->unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (size < 0 && errno != EAGAIN) {
    Close(connection);
    return;
  }
  if (size > 0) connection->unsent.erase(0, static_cast<std::size_t>(size));
  WatchConnection(connection);
}

void HttpServer::Close(const std::shared_ptr<Connection>& connection) {
  if (!connection->open) return;
  const std::shared_ptr<Connection> kept = connection;
  kept->open = false;
  loop_.Unwatch(kept->socket);
  close(kept->socket);
  connections_.erase(kept);
  if (kept->on_closed) std::exchange(kept->on_closed, {})();
}

void HttpServer::GoDark() {
  dark_ = true;
  loop_.Unwatch(listener_);
  for (const auto& connection : connections_) loop_.Unwatch(connection->socket);
}

void HttpServer::Return() {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  for (int socket = accept(listener_, nullptr, nullptr); socket >= 0;
       socket = accept(listener_, nullptr, nullptr)) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(socket);
  }
  for (const auto& connection : std::set(connections_)) {
    setsockopt(connection->socket, SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
    Close(connection);
  }
  dark_ = false;
  loop_.Watch(listener_, [this] { Accept(); }, {});
}

void Fetch(EventLoop& loop, const std::string& address,
           const std::string& request, milliseconds timeout,
           std::function<void(std::optional<HttpMessage>)> on_done) {
  struct Exchange {
    int socket = -1;
    std::string received;
    bool done = false;
  };
  const std::size_t colon = address.rfind(':');
  sockaddr_in endpoint = ToEndpoint(
      address.substr(0, colon), std::atoi(address.substr(colon + 1).c_str()));
  auto exchange = std::make_shared<Exchange>();
  exchange->socket = socket(AF_INET, SOCK_STREAM, 0);
  Prepare(exchange->socket);
  connect(exchange->socket, reinterpret_cast<sockaddr*>(&endpoint),
          sizeof(endpoint));
  const auto finish = [&loop, exchange, on_done = std::move(on_done)](
                          std::optional<HttpMessage> response) {
    if (std::exchange(exchange->done, true)) return;
    loop.Unwatch(exchange->socket);
    close(exchange->socket);
    on_done(std::move(response));
  };
  const auto on_readable = [exchange, finish] {
    char bytes[65536];
    const ssize_t size = read(exchange->socket, bytes, sizeof(bytes));
    if (size < 0 && errno == EAGAIN) return;
    if (size <= 0) {
      finish(std::nullopt);
      return;
    }
    exchange->received.append(bytes, static_cast<std::size_t>(size));
    if (auto response = TakeMessage(exchange->received))
      finish(std::move(response));
  };
  const auto on_connected = [&loop, exchange, request, on_readable] {
    loop.Watch(exchange->socket, on_readable, {});
    send(exchange->socket, request.data(), request.size(), MSG_NOSIGNAL);
  };
  loop.Watch(exchange->socket, {}, on_connected);
  loop.After(timeout, [finish] { finish(std::nullopt); });
}

std::string OwnLoopbackIp() {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(128 + (pid >> 16U) % 64) + "." +
         std::to_string((pid >> 8U) % 256) + "." + std::to_string(pid % 256);
}

}  // namespace review
