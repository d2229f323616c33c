// An HTTP/1.1 client connection to a leaf, another host or the store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "berylreach/base/clock.h"
#include "berylreach/base/receive_quota.h"
#include "berylreach/gateway/http_message.h"

namespace berylreach::gateway {

class ClientConnection;

/// Why an exchange ended without a response.
enum class ExchangeFailure {
  /// No byte of the request was sent.
  kNotSent,
  /// No byte of the request was sent, because nothing listens at the address.
  kRefused,
  /// The connection was closed, or the response violated the protocol.
  kBroken,
  /// The deadline of the exchange passed.
  kTimedOut,
};

/// Returns the name of a failure for the log.
std::string_view NameOf(ExchangeFailure failure);

/// Receives the events of a connection.
class ClientConnectionHandler {
 public:
  virtual ~ClientConnectionHandler() = default;
  /// The final response to the running exchange. The connection is now idle, or
  /// closed if `reusable` is false.
  virtual void OnResponse(ClientConnection& connection, HttpResponse response,
                          bool reusable) = 0;
  /// An interim (1xx) response; the final response follows.
  virtual void OnInterim(ClientConnection& /*connection*/,
                         const HttpResponse& /*response*/) {}
  /// The running exchange failed and the connection is closed.
  virtual void OnExchangeFailed(ClientConnection& connection,
                                ExchangeFailure failure) = 0;
  /// A connection that was opened without a request is connected and idle.
  virtual void OnOpened(ClientConnection& connection) = 0;
  /// An idle connection was closed, by the peer or because the peer sent bytes
  /// that no request asked for. `reset` is true if the peer did not close it
  /// properly, as when its process ends.
  virtual void OnIdleClosed(ClientConnection& connection, bool reset) = 0;
};

/// An HTTP/1.1 client connection that carries one exchange (a request and its
/// response) at a time. All calls must come from the event loop's thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private base::ReceiveQuota::Holder {
 public:
  /// `handler` must outlive this connection, unless Close is called first.
  ClientConnection(boost::asio::io_context& io,
                   ClientConnectionHandler& handler, const base::Clock& clock);
  ~ClientConnection() override;

  /// Connects to `address` ("IP:port") and sends `bytes`, or leaves the
  /// connection idle if `bytes` is empty. `is_head` says that the method is
  /// HEAD, whose response has no body. The exchange fails if the connection is
  /// not established by `connect_deadline` or has no response by
  /// `response_deadline`; CheckTimeouts checks both.
  void Open(const std::string& address, std::string bytes, bool is_head,
            base::TimePoint connect_deadline,
            base::TimePoint response_deadline);
  /// Limits a response, including its interim responses, to
  /// `max_response_bytes`; beyond that the exchange fails with kBroken. Takes
  /// effect when the connection opens.
  void SetMaxResponseBytes(std::size_t max_response_bytes) {
    max_response_bytes_ = max_response_bytes;
  }
  /// Limits a response as SetMaxResponseBytes does. All incomplete responses of
  /// the connections that share `quota` are limited by it together; `quota`
  /// must outlive this connection, unless Close is called first. If the quota
  /// gives the response up, the exchange fails with kBroken.
  void SetResponseLimits(std::size_t max_response_bytes,
                         base::ReceiveQuota& quota) {
    SetMaxResponseBytes(max_response_bytes);
    quota_ = &quota;
  }
  /// Enables TCP keep-alive probes once the connection has been idle for
  /// `idle_time`, so that a connection to an unresponsive peer fails within
  /// seconds. Takes effect when the connection opens.
  void EnableTcpKeepAlive(std::chrono::seconds idle_time) {
    tcp_keep_alive_idle_ = idle_time;
  }
  /// Sends another request over an idle connection.
  void Send(std::string bytes, bool is_head, base::TimePoint response_deadline);
  /// Withdraws the request if the connection is still being established; the
  /// connection then opens without a request. False if the request may have
  /// been sent.
  bool Withdraw();
  /// Closes the connection without notifying the handler.
  void Close();
  /// Fails an exchange whose deadline has passed.
  void CheckTimeouts(base::TimePoint now);

  bool closed() const { return closed_; }
  bool busy() const { return busy_; }
  /// When the last exchange ended, or the connection opened without a request.
  base::TimePoint idle_since() const { return idle_since_; }
  /// How long the peer keeps an idle connection open, from its last response;
  /// zero if unknown.
  std::chrono::seconds keep_alive() const { return keep_alive_; }

 private:
  struct Parser;

  void OnConnected();
  void StartParser();
  void SetTcpKeepAlive();
  void Write();
  void WaitRead();
  void OnReadable();
  /// Counts received bytes against the limit and the quota; false if either is
  /// exceeded, or if the connection was closed meanwhile.
  bool CountBytes(std::size_t size);
  void GiveUp() override { Fail(ExchangeFailure::kBroken); }
  /// Returns the bytes of a completed or failed response to the quota.
  void ReturnToQuota();
  void Consume(const char* data, std::size_t size);
  /// Passes a complete interim response to the handler; false if the handler
  /// closed the connection.
  bool DeliverInterim();
  /// Handles the end of the stream; `clean` if the peer closed it without an
  /// error.
  void OnEnd(bool clean);
  /// Returns the message that the parser has completed.
  HttpResponse TakeResponse();
  void FinishResponse(bool reusable);
  void Fail(ExchangeFailure failure);

  boost::asio::ip::tcp::socket socket_;
  ClientConnectionHandler& handler_;
  const base::Clock& clock_;
  std::unique_ptr<Parser> parser_;
  /// Received bytes that the parser has not consumed.
  std::string unparsed_;
  std::size_t max_response_bytes_;
  base::ReceiveQuota* quota_ = nullptr;
  /// Bytes received of the response being read.
  std::size_t received_ = 0;
  /// Bytes to send, of which the first `written_` are sent.
  std::string write_buffer_;
  std::size_t written_ = 0;
  bool head_request_ = false;
  /// Idle time before TCP keep-alive probes; zero if they are disabled.
  std::chrono::seconds tcp_keep_alive_idle_{0};
  bool connected_ = false;
  bool busy_ = false;
  bool closed_ = false;
  bool reading_ = false;
  base::TimePoint connect_deadline_{};
  base::TimePoint response_deadline_{};
  base::TimePoint idle_since_{};
  std::chrono::seconds keep_alive_{0};
};

}  // namespace berylreach::gateway
