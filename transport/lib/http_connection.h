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

/// Reads requests and writes their responses in the order of the requests.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer::Impl& server, tcp::socket socket, std::uint64_t id,
                 std::size_t listener);

  void Start();
  /// Answers 503 without reading a request and closes.
  void Refuse();
  void Respond(std::uint64_t request, HttpResponse response);
  /// Closes at once; open requests are reported as gone.
  void Close();
  /// No request is open, arriving or waiting in the socket.
  bool IsIdle();
  /// Closes if nothing was open for the idle time-out before `now`.
  void CloseIfStale(std::chrono::steady_clock::time_point now);

 private:
  using Response = http::response<http::string_body>;

  /// A request that is not answered in full.
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
  /// Reads and discards, to notice that the client closed.
  void Discard();
  void WriteNext();
  void OnWritten(const ErrorCode& error, bool close);
  /// Half-closes and waits for the client to close, because closing with
  /// unread input would reset the connection and could destroy the response.
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
  /// No further request is read.
  bool input_ended_ = false;
  bool writing_ = false;
  bool finished_ = false;
  bool closed_ = false;
};

}  // namespace berylreach::transport
