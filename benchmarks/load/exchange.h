// One HTTP request to a host on one connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace berylreach::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::uint64_t kMaxBodyBytes = 256ULL << 20;

/// Reads "IP:port".
inline tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

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
  using Callback = std::function<void(Reply, std::optional<tcp::socket>)>;

  Exchange(asio::io_context& io, Callback done)
      : stream_(io), done_(std::move(done)) {}

  void Start(const std::string& address, std::optional<tcp::socket> reused,
             http::verb verb, const std::string& target, std::string body,
             milliseconds limit) {
    request_.method(verb);
    request_.target(target);
    request_.version(11);
    request_.set(http::field::host, address);
    request_.set(http::field::content_type, "application/json");
    request_.body() = std::move(body);
    request_.prepare_payload();
    parser_.body_limit(kMaxBodyBytes);
    auto self = shared_from_this();
    if (reused) {
      stream_.socket() = std::move(*reused);
      stream_.expires_after(limit);
      return Write();
    }
    stream_.expires_after(limit);
    stream_.async_connect(EndpointOf(address), [self](Error error) {
      if (error) return self->Finish(Transfer::kNoConnection);
      self->stream_.socket().set_option(tcp::no_delay(true), error);
      self->Write();
    });
  }

 private:
  void Write() {
    auto self = shared_from_this();
    http::async_write(stream_, request_, [self](Error error, std::size_t) {
      if (error) return self->Finish(FailureOf(error));
      http::async_read(
          self->stream_, self->buffer_, self->parser_,
          [self](Error read, std::size_t) {
            self->Finish(read ? FailureOf(read) : Transfer::kReplied);
          });
    });
  }

  static Transfer FailureOf(const Error& error) {
    return error == beast::error::timeout ? Transfer::kTimedOut
                                          : Transfer::kCut;
  }

  void Finish(Transfer transfer) {
    Reply reply;
    reply.transfer = transfer;
    std::optional<tcp::socket> socket;
    if (transfer == Transfer::kReplied) {
      reply.status = static_cast<int>(parser_.get().result_int());
      reply.body = std::move(parser_.get().body());
      if (parser_.get().keep_alive()) {
        stream_.expires_never();
        socket = stream_.release_socket();
      }
    }
    done_(std::move(reply), std::move(socket));
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  Callback done_;
};

/// True if the peer closed an idle connection or sent bytes on it.
inline bool IsStale(tcp::socket& socket) {
  char byte = 0;
  Error error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace berylreach::load
