// One connection to a leaf or to the store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "berylreach/base/clock.h"
#include "berylreach/gateway/http_message.h"
#include "berylreach/gateway/receive_quota.h"

namespace berylreach::gateway {

class ClientConnection;

/// Why an exchange ended without a response.
enum class ExchangeFailure {
  /// No byte of the request was written.
  kNotSent,
  /// The same, because nothing listens at the address.
  kRefused,
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
  /// An answer, its interim responses among it, may have `answer_limit` bytes,
  /// and those that are incomplete share `quota`, which must outlive the
  /// connection. Beyond either the exchange is broken. Takes effect when the
  /// connection opens.
  void LimitAnswers(std::size_t answer_limit, ReceiveQuota& quota) {
    answer_limit_ = answer_limit;
    quota_ = &quota;
  }
  /// Probes the peer when the connection has been quiet for `quiet`, so that
  /// one that has gone silent fails within seconds. Takes effect when it opens.
  void KeepProbing(std::chrono::seconds quiet) { probe_after_ = quiet; }
  /// Sends a further request on an idle connection.
  void Send(std::string bytes, bool head, base::TimePoint answer_by);
  /// Takes the request back if the connection is still being opened, which then
  /// opens without one; false if the request may have been sent.
  bool Withdraw();
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
  /// Counts bytes of the running answer; false if there are too many.
  bool Count(std::size_t size);
  /// Gives the bytes of an answer that has ended back to the quota.
  void EndCount();
  void Consume(const char* data, std::size_t size);
  /// Passes a complete interim response on; false if that closed the
  /// connection.
  bool PassInterim();
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
  std::size_t answer_limit_;
  ReceiveQuota* quota_ = nullptr;
  /// Bytes received of the running answer.
  std::size_t received_ = 0;
  std::string out_;
  std::size_t written_ = 0;
  bool head_ = false;
  /// Zero for a connection that is not probed.
  std::chrono::seconds probe_after_{0};
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
