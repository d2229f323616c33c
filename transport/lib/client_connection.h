// A client's HTTP connection.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "io.h"

namespace berylreach::transport {

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
  kAnswered,
  kNotWritten,  ///< No byte left this host.
  kLost,        ///< A byte may have left; there is no whole answer.
};

/// Result of one request on one connection.
struct Exchange {
  ExchangeEnd end = ExchangeEnd::kLost;
  http::response<http::string_body> response;
};

/// One connection that carries one request at a time. It belongs to one
/// thread. After Close no callback is called.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using ConnectDone = std::function<void(const ErrorCode&)>;
  using ExchangeDone = std::function<void(Exchange)>;

  explicit ClientConnection(asio::io_context& context);

  void Connect(const tcp::endpoint& endpoint, ConnectDone done);

  /// Writes `request` at once, before returning, as far as the socket takes it.
  /// `done` may be called before this returns if nothing could be written.
  void Send(std::string request, ExchangeDone done);

  /// The peer has closed an idle connection or sent bytes unasked.
  bool IsStale();

  /// The last answer lets the connection be used again.
  bool reusable() const { return reusable_; }

  void Close();

 private:
  void WriteRest(std::size_t written);
  void Read();
  void Finish(ExchangeEnd end);

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string request_;
  ConnectDone connect_done_;
  ExchangeDone exchange_done_;
  bool reusable_ = false;
};

/// Bytes of a request to `host`, with the body if it is not empty.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const std::string& host, const std::string& body);

}  // namespace berylreach::transport
