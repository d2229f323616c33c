// HTTP/1.1 on loopback sockets: a server for the store and the leaves, and a
// client for callers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event_loop.h"

namespace review {

/// A request or a response: its first line, header fields and body.
struct HttpMessage {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// The value of a header field, whatever its case; empty if it is missing.
  std::string Field(std::string_view name) const;
  /// Word `index` of the first line.
  std::string Word(std::size_t index) const;
  /// The status of a response.
  int Status() const;
};

/// Splits the first complete message with a stated length off `buffer`; nullopt
/// if it has not arrived completely.
std::optional<HttpMessage> TakeMessage(std::string& buffer);

/// Formats a response with a Content-Length.
std::string FormatResponse(int status, const std::string& fields,
                           const std::string& body);

class HttpServer {
 public:
  /// A connection of a client. It may close while a request is being answered.
  struct Connection {
    int socket = -1;
    std::string received;
    std::string unsent;
    bool open = true;
    /// Called when the client closes the connection.
    std::function<void()> on_closed;
  };
  using Handler = std::function<void(const std::shared_ptr<Connection>&,
                                     const HttpMessage&)>;

  /// Listens on a free port of the loopback address `ip`.
  HttpServer(EventLoop& loop, const std::string& ip, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const std::string& address() const { return address_; }
  void Send(const std::shared_ptr<Connection>& connection,
            const std::string& bytes);
  void Close(const std::shared_ptr<Connection>& connection);
  /// Falls silent, as a machine without power does: reads and sends nothing.
  void GoDark();
  /// Serves again; all connections from before are reset.
  void Return();

 private:
  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Write(const std::shared_ptr<Connection>& connection);
  void WatchConnection(const std::shared_ptr<Connection>& connection);

  EventLoop& loop_;
  Handler handler_;
  int listener_ = -1;
  std::string address_;
  bool dark_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
};

/// Sends one request over a new connection and calls `on_done` with the
/// response, or with nullopt if there was none within `timeout`.
void Fetch(EventLoop& loop, const std::string& address,
           const std::string& request, milliseconds timeout,
           std::function<void(std::optional<HttpMessage>)> on_done);

/// An address "127.x.y.z" that other runs of the test are unlikely to use.
std::string OwnLoopbackIp();

}  // namespace review
