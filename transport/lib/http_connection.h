// One connection of the HTTP server.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "berylreach/transport/http_server.h"
#include "io.h"

namespace berylreach::transport {

/// Reads requests and writes their responses in the order of the requests. Used
/// on the server's thread only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer::Impl& server, tcp::socket socket, std::uint64_t id,
                 std::size_t listener);

  void Start();
  /// Sends a 503 response without reading a request, then closes the
  /// connection.
  void Refuse();
  void Respond(std::uint64_t request, HttpResponse response);
  /// Closes the connection at once and calls HttpHandler::OnClientDisconnected
  /// for each request without a response.
  void Close();
  /// Whether no request is open, partly received or waiting in the socket.
  bool IsIdle();
  /// Closes the connection if at `now` it has been without an open request for
  /// longer than the idle timeout, or if the client has not closed it in time
  /// after the last response.
  void CloseIfStale(std::chrono::steady_clock::time_point now);

 private:
  using Response = http::response<http::string_body>;

  /// A request that is not answered in full. `request` is 0 for an error
  /// response to input that is not a valid request.
  struct Slot {
    std::uint64_t request = 0;
    bool keep_alive = true;
    std::optional<Response> response;
  };

  void ReadNext();
  void OnRead(const ErrorCode& error);
  void Deliver();
  void Reject(const ErrorCode& error);
  void RejectWith(http::status status, const std::string& body);
  /// Reads and discards input until the client closes the connection.
  void Discard();
  void WriteNext();
  void OnWritten(const ErrorCode& error, bool close);
  /// Shuts down the sending side and waits for the client to close. Closing a
  /// socket with unread input would reset the connection, and the client could
  /// lose the response.
  void FinishSending();

  HttpServer::Impl& server_;
  tcp::socket socket_;
  const std::uint64_t id_;
  const std::size_t listener_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::array<char, 4096> scratch_{};
  std::deque<Slot> slots_;
  std::uint64_t next_request_ = 1;
  std::chrono::steady_clock::time_point idle_since_;
  bool reading_ = false;
  bool discarding_ = false;
  /// Set when no further request will be read.
  bool input_ended_ = false;
  bool writing_ = false;
  /// Set once FinishSending has shut down the sending side.
  bool send_closed_ = false;
  bool closed_ = false;
};

}  // namespace berylreach::transport
