// One HTTP request and its response over a TCP connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylreach::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

/// How an HTTP exchange ended.
enum class ExchangeOutcome {
  kReplied,
  kNoConnection,
  kConnectionLost,
  kTimedOut
};

/// The HTTP response; `status` and `body` are set only with kReplied.
struct Reply {
  ExchangeOutcome outcome = ExchangeOutcome::kNoConnection;
  int status = 0;
  std::string body;
};

/// One request and its response on one connection. Keeps itself alive until its
/// callback has run.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// Receives the reply, and the connection if it can be reused.
  using Callback = std::function<void(Reply, std::optional<tcp::socket>)>;

  Exchange(asio::io_context& io, Callback done);

  /// Sends one request on `reused` or, if it is empty, on a new connection to
  /// `address` ("IP:port"). `limit` bounds connecting, sending and
  /// receiving together.
  void Start(const std::string& address, std::optional<tcp::socket> reused,
             http::verb verb, const std::string& target, std::string body,
             milliseconds limit);

 private:
  void Write();
  void Finish(ExchangeOutcome outcome);

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  Callback done_;
};

/// Returns whether the peer closed an idle connection or sent unexpected bytes
/// on it; such a connection must not be reused.
bool IsStale(tcp::socket& socket);

}  // namespace berylreach::load
