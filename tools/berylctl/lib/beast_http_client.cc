// HTTP client of berylctl on Boost.Beast.
#include "berylreach/berylctl/beast_http_client.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "berylreach/config/address.h"
#include "berylreach/config/bounds.h"

namespace berylreach::berylctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Maximum number of requests that are sent at the same time.
constexpr std::size_t kMaxConnections = 100;

/// Returns a completion handler that calls `next` unless the operation failed.
template <typename Next>
auto OnSuccess(Next next) {
  return [next](beast::error_code error, auto&&...) {
    if (!error) next();
  };
}

/// Sends one request on a new connection. The operations are asynchronous
/// because synchronous ones ignore the timeout of the stream.
class Exchange {
 public:
  Exchange(asio::io_context& context, std::chrono::milliseconds timeout)
      : stream_(context) {
    stream_.expires_after(timeout);
    parser_.body_limit(config::kMaxHostBodyBytes);
  }

  void Start(const HttpRequest& request) {
    const auto address = config::ParseAddress(request.address);
    if (!address) return;
    beast::error_code error;
    const auto ip = asio::ip::make_address(address->ip, error);
    if (error) return;
    Prepare(request);
    stream_.async_connect({ip, address->port}, OnSuccess([this] { Write(); }));
  }

  /// The result, once the context has run out of work.
  HttpResult Result() {
    if (!done_) return std::nullopt;
    return HttpResponse{parser_.get().result_int(),
                        std::move(parser_.get().body())};
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
    http::async_write(stream_, request_, OnSuccess([this] { Read(); }));
  }

  void Read() {
    http::async_read(stream_, buffer_, parser_,
                     OnSuccess([this] { done_ = true; }));
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  bool done_ = false;
};

}  // namespace

std::vector<HttpResult> BeastHttpClient::SendAll(
    const std::vector<HttpRequest>& requests) {
  std::vector<HttpResult> results;
  while (results.size() < requests.size()) {
    const std::size_t end =
        std::min(requests.size(), results.size() + kMaxConnections);
    asio::io_context context;
    std::vector<std::unique_ptr<Exchange>> exchanges;
    for (std::size_t i = results.size(); i < end; ++i) {
      exchanges.push_back(std::make_unique<Exchange>(context, timeout_));
      exchanges.back()->Start(requests[i]);
    }
    context.run();
    for (const auto& exchange : exchanges)
      results.push_back(exchange->Result());
  }
  return results;
}

}  // namespace berylreach::berylctl
