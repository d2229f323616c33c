// One connection of a caller.
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
  /// A request was read whole. The answer goes to Respond, now or later; no
  /// further request is delivered before.
  virtual void OnRequest(ServerConnection& connection, HttpRequest request) = 0;
  /// The peer left. A request without an answer is no longer wanted.
  virtual void OnClosed(ServerConnection& connection) = 0;
};

/// Reads requests and writes answers, one at a time. All calls come from the
/// event loop's thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// `handler` must outlive the connection or Close must have been called.
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   ServerConnectionHandler& handler, const base::Clock& clock,
                   forward::CallerLimits limits);
  ~ServerConnection();

  void Start();
  /// Writes an interim response; the request keeps waiting for its answer.
  void RespondInterim(const std::string& bytes);
  /// Writes a complete response. `keep_alive` false closes after it.
  void Respond(const std::string& bytes, bool keep_alive);
  /// Closes without a call to the handler.
  void Close();
  /// Closes an idle connection, or one whose peer is too slow, with an answer
  /// where one is due.
  void CheckTimeouts(base::TimePoint now);
  /// Closes if no request is being read or answered.
  void CloseIfIdle();

  bool closed() const { return closed_; }
  /// A request was delivered and has no answer yet.
  bool answering() const { return answering_; }

 private:
  struct Parser;

  void WaitRead();
  void OnReadable();
  void Parse();
  void Deliver();
  void Reject(int status, const char* reason);
  void Send(const std::string& bytes);
  void Write();
  void OnWritten();
  void PeerLeft();

  boost::asio::ip::tcp::socket socket_;
  ServerConnectionHandler& handler_;
  const base::Clock& clock_;
  forward::CallerLimits limits_;
  std::unique_ptr<Parser> parser_;
  std::string pending_;
  std::string out_;
  std::size_t written_ = 0;
  bool answering_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool close_after_ = false;
  bool lingering_ = false;
  bool closed_ = false;
  bool in_parse_ = false;
  /// Since when the connection waits for the rest of a request, or for the
  /// next one.
  base::TimePoint waiting_since_{};
};

}  // namespace berylreach::gateway
