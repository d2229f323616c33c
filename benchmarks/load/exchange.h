// One HTTP request to a host on one connection.
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
enum class Transfer { kReplied, kNoConnection, kCut, kTimedOut };

struct Reply {
  Transfer transfer = Transfer::kNoConnection;
  int status = 0;
  std::string body;
};

/// One exchange on one connection. Keeps itself alive until its callback ran.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// Gets the connection only if it can carry another exchange.
  using Callback = std::function<void(Reply, std::optional<tcp::socket>)>;

  Exchange(asio::io_context& io, Callback done);

  /// Sends one request on `reused` or on a new connection to "IP:port".
  void Start(const std::string& address, std::optional<tcp::socket> reused,
             http::verb verb, const std::string& target, std::string body,
             milliseconds limit);

 private:
  void Write();
  void Finish(Transfer transfer);

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  Callback done_;
};

/// True if the peer closed an idle connection or sent bytes on it.
bool IsStale(tcp::socket& socket);

}  // namespace berylreach::load
