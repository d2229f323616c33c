// HTTP client over TCP.
#include "berylreach/berylctl/beast_http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "berylreach/config/address.h"
#include "berylreach/config/bounds.h"

namespace berylreach::berylctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// A handler that continues with `next` unless the operation failed.
template <typename Next>
auto Then(Next next) {
  return [next](beast::error_code error, auto&&...) {
    if (!error) next();
  };
}

/// One request on its own connection. The operations are asynchronous because
/// synchronous ones ignore the time limit of the stream.
class Exchange {
 public:
  explicit Exchange(std::chrono::milliseconds limit) : stream_(context_) {
    stream_.expires_after(limit);
    parser_.body_limit(config::kMaxHostBodyBytes);
  }

  std::optional<HttpAnswer> Run(const config::Address& address,
                                const HttpRequest& request) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) return std::nullopt;
    Prepare(request);
    stream_.async_connect({ip, address.port}, Then([this] { Write(); }));
    context_.run();
    if (!done_) return std::nullopt;
    return HttpAnswer{parser_.get().result_int(), parser_.get().body()};
  }

 private:
  void Prepare(const HttpRequest& request) {
    request_.version(11);
    request_.method(http::string_to_verb(request.method));
    request_.target(request.target);
    request_.set(http::field::host, request.address);
    request_.set(http::field::connection, "close");
    request_.body() = request.body;
    request_.prepare_payload();
  }

  void Write() {
    http::async_write(stream_, request_, Then([this] { Read(); }));
  }

  void Read() {
    http::async_read(stream_, buffer_, parser_, Then([this] { done_ = true; }));
  }

  asio::io_context context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  bool done_ = false;
};

}  // namespace

std::optional<HttpAnswer> BeastHttpClient::Send(const HttpRequest& request) {
  const auto address = config::ParseAddress(request.address);
  if (!address) return std::nullopt;
  return Exchange(limit_).Run(*address, request);
}

}  // namespace berylreach::berylctl
