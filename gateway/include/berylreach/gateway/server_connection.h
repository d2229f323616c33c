// An HTTP/1.1 server connection of a caller or another host.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/forward/configuration.h"
#include "berylreach/gateway/http_message.h"

namespace berylreach::gateway {

class ServerConnection;

/// Receives the requests of connections.
class ServerConnectionHandler {
 public:
  virtual ~ServerConnectionHandler() = default;
  /// A complete request was received. The response is passed to Respond, now or
  /// later; no further request is delivered before that.
  virtual void OnRequest(ServerConnection& connection, HttpRequest request) = 0;
  /// The connection was closed. Nobody waits any longer for the response to its
  /// last request.
  virtual void OnClosed(ServerConnection& connection) = 0;
};

/// Reads requests and writes responses, one request at a time. All calls must
/// come from the event loop's thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// `handler` must outlive this connection, unless Close is called first.
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   ServerConnectionHandler& handler, const base::Clock& clock,
                   forward::CallerLimits limits);
  ~ServerConnection();

  void Start();
  /// Writes an interim response; the request still waits for its final one.
  void RespondInterim(const std::string& bytes);
  /// Writes a final response. If `keep_alive` is false, the connection is
  /// closed after it.
  void Respond(const std::string& bytes, bool keep_alive);
  /// Closes the connection without notifying the handler.
  void Close();
  /// Closes the connection if it has been idle for too long or its peer is too
  /// slow. A request that was received in part gets status 408.
  void CheckTimeouts(base::TimePoint now);
  /// Closes the connection if no request is being read or answered.
  void CloseIfIdle();

  bool closed() const { return closed_; }
  /// Whether a request was delivered and has no response yet.
  bool awaiting_response() const { return awaiting_response_; }

 private:
  struct Parser;

  void WaitRead();
  void OnReadable();
  void Parse();
  void Deliver();
  /// Responds to a malformed or late request and closes the connection.
  void Reject(int status, const char* reason);
  void Send(const std::string& bytes);
  void Write();
  void OnWritten();
  void OnPeerClosed();

  boost::asio::ip::tcp::socket socket_;
  ServerConnectionHandler& handler_;
  const base::Clock& clock_;
  forward::CallerLimits limits_;
  std::unique_ptr<Parser> parser_;
  /// Received bytes that the parser has not consumed.
  std::string unparsed_;
  /// Bytes to send, of which the first `written_` are sent.
  std::string write_buffer_;
  std::size_t written_ = 0;
  bool awaiting_response_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool close_after_write_ = false;
  /// The last response is sent and the peer is expected to close.
  bool lingering_ = false;
  bool closed_ = false;
  bool parsing_ = false;
  /// Start of the wait for the rest of a request, or for the next one.
  base::TimePoint waiting_since_{};
};

}  // namespace berylreach::gateway
