// The client side of one HTTP connection.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "berylreach/base/receive_quota.h"
#include "io.h"

namespace berylreach::transport {

/// How a request and its response ended.
enum class ExchangeOutcome : std::uint8_t {
  kAnswered,
  kNotWritten,  ///< No byte of the request was written to the socket.
  kLost,        ///< A byte may have been sent; no complete answer arrived.
};

/// Result of one request on one connection.
struct Exchange {
  ExchangeOutcome outcome = ExchangeOutcome::kLost;
  http::response<http::string_body> response;
};

/// A connection that carries one request at a time. All methods are called on
/// one thread. After Close no callback is called.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private base::ReceiveQuota::Holder {
 public:
  using ConnectCallback = std::function<void(const ErrorCode&)>;
  using ExchangeCallback = std::function<void(Exchange)>;

  /// `quota` limits the incomplete answers of all connections that share it,
  /// and must outlive this connection.
  ClientConnection(asio::io_context& context, base::ReceiveQuota& quota);
  ~ClientConnection() override { quota_.Return(*this); }

  void Connect(const tcp::endpoint& endpoint, ConnectCallback done);

  /// Writes as much of `request` as the socket accepts before it returns, and
  /// the rest asynchronously. If nothing could be written, `done` is called
  /// before this returns.
  void Send(std::string request, ExchangeCallback done);

  /// Whether the peer has closed an idle connection or sent bytes without a
  /// request.
  bool IsStale();

  /// Whether the last answer allows another request on this connection.
  bool reusable() const { return reusable_; }

  void Close();

 private:
  void WriteRest(std::size_t written);
  void Read();
  void ReadSome();
  /// Counts received bytes of the answer against its limit and the quota; false
  /// if either is exceeded, or if the exchange has ended meanwhile.
  bool CountBytes(std::size_t size);
  void Parse();
  /// Handles the end of the stream; `clean` if the peer closed it without an
  /// error.
  void OnEnd(bool clean);
  void GiveUp() override { Finish(ExchangeOutcome::kLost); }
  void Finish(ExchangeOutcome outcome);

  tcp::socket socket_;
  base::ReceiveQuota& quota_;
  boost::beast::flat_buffer buffer_;
  /// Bytes received of the answer being read.
  std::size_t received_ = 0;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string request_;
  ConnectCallback connect_done_;
  ExchangeCallback exchange_done_;
  bool reusable_ = false;
};

/// Formats an HTTP/1.1 request; `host` is the value of its Host header. A GET
/// request with an empty body has no Content-Length.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const std::string& host, const std::string& body);

}  // namespace berylreach::transport
