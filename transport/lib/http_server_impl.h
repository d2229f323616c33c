// State of an HttpServer; used on the server's thread only, unless a comment
// says otherwise.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "berylreach/base/channel.h"
#include "berylreach/transport/http_server.h"
#include "http_connection.h"
#include "io.h"

namespace berylreach::transport {

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  /// A call of Respond, or of Abort if there is no response, that is passed to
  /// the server's thread.
  struct Command {
    HttpToken token;
    std::optional<HttpResponse> response;
  };

  Impl(IoThread& thread, HttpServerOptions options, HttpHandler& handler);

  /// Opens the listeners; returns the error of the first that fails.
  std::optional<BindError> Bind();
  void Start();
  void Close();
  void ExecuteCommands();
  void StopAccepting();
  void CloseIdle();

  /// Removes a connection; called by the connection when it is closed.
  void RemoveConnection(std::uint64_t connection);

  IoThread& thread;
  asio::io_context& context;
  const HttpServerOptions options;
  /// Null after the destruction of the server has begun.
  HttpHandler* handler;
  std::vector<tcp::acceptor> acceptors;
  std::vector<std::string> addresses;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpConnection>>
      connections;
  std::uint64_t next_connection = 1;
  bool stopping = false;
  /// May be read from any thread.
  std::atomic<std::size_t> open_requests{0};
  /// May be read from any thread.
  std::atomic<std::size_t> open_connections{0};
  /// Any thread may push commands.
  base::Channel<Command> commands;

 private:
  std::optional<BindError> Listen(const std::string& address);
  void Accept(std::size_t listener);
  /// Accepts again after a delay; called when an accept has failed.
  void RetryAcceptLater(std::size_t listener);
  void OnAccept(std::size_t listener, tcp::socket socket);
  /// Periodically closes connections that exceed the idle timeout.
  void Sweep();

  asio::steady_timer sweep_timer_;
};

}  // namespace berylreach::transport
