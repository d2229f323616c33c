// One connection to a leaf or to the store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/gateway/http_message.h"

namespace berylreach::gateway {

class ClientConnection;

/// Why an exchange ended without a response.
enum class ExchangeFailure {
  /// No byte of the request was written.
  kNotSent,
  /// The connection ended, or the response broke the protocol.
  kBroken,
  /// The time given to the exchange is over.
  kTimedOut,
};

/// Receives what happens on a connection.
class ClientConnectionHandler {
 public:
  virtual ~ClientConnectionHandler() = default;
  /// The response to the running exchange; the connection is idle, or closed
  /// if `reusable` is false.
  virtual void OnResponse(ClientConnection& connection, HttpResponse response,
                          bool reusable) = 0;
  /// An interim response; the final one follows.
  virtual void OnInterim(ClientConnection& /*connection*/,
                         const HttpResponse& /*response*/) {}
  /// The running exchange failed and the connection is closed.
  virtual void OnExchangeFailed(ClientConnection& connection,
                                ExchangeFailure failure) = 0;
  /// A connection that was opened without a request is idle.
  virtual void OnOpened(ClientConnection& connection) = 0;
  /// An idle connection was closed by the peer.
  virtual void OnIdleClosed(ClientConnection& connection) = 0;
};

/// Carries one exchange at a time. All calls come from the event loop's
/// thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// `handler` must outlive the connection or Close must have been called.
  ClientConnection(boost::asio::io_context& io,
                   ClientConnectionHandler& handler, const base::Clock& clock);
  ~ClientConnection();

  /// Opens the connection to `address` ("IP:port") and sends `bytes`, or leaves
  /// it idle if there are none. The exchange fails if it is not connected by
  /// `connect_by` or has no response by `answer_by`; both are checked in
  /// CheckTimeouts.
  void Open(const std::string& address, std::string bytes, bool head,
            base::TimePoint connect_by, base::TimePoint answer_by);
  /// Probes the peer while the connection is quiet, so that a connection that
  /// has gone silent fails within seconds. Takes effect when it opens.
  void KeepProbing() { probing_ = true; }
  /// Sends a further request on an idle connection.
  void Send(std::string bytes, bool head, base::TimePoint answer_by);
  /// Closes without a call to the handler.
  void Close();
  /// Fails an exchange whose time is over.
  void CheckTimeouts(base::TimePoint now);

  bool closed() const { return closed_; }
  bool busy() const { return busy_; }
  /// When the last exchange ended.
  base::TimePoint idle_since() const { return idle_since_; }
  /// How long the peer keeps the connection idle; zero if unknown.
  std::chrono::seconds keep_alive() const { return keep_alive_; }

 private:
  struct Parser;

  void OnConnected();
  void StartParser();
  void StartProbing();
  void Write();
  void WaitRead();
  void OnReadable();
  void Consume(const char* data, std::size_t size);
  void OnEnd(bool clean);
  /// The message that was parsed whole.
  HttpResponse TakeResponse();
  void FinishResponse(bool reusable);
  void Fail(ExchangeFailure failure);

  boost::asio::ip::tcp::socket socket_;
  ClientConnectionHandler& handler_;
  const base::Clock& clock_;
  std::unique_ptr<Parser> parser_;
  std::string pending_;
  std::string out_;
  std::size_t written_ = 0;
  bool head_ = false;
  bool probing_ = false;
  bool connected_ = false;
  bool busy_ = false;
  bool closed_ = false;
  bool reading_ = false;
  base::TimePoint connect_by_{};
  base::TimePoint answer_by_{};
  base::TimePoint idle_since_{};
  std::chrono::seconds keep_alive_{0};
};

}  // namespace berylreach::gateway
