// The client side of one HTTP connection.
#include "client_connection.h"

#include <array>
#include <utility>

namespace berylreach::transport {
namespace {

/// Maximum body size of an answer from a leaf, the store or the host list.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} * 1024 * 1024;

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context)
    : socket_(context) {}

void ClientConnection::Connect(const tcp::endpoint& endpoint,
                               ConnectCallback done) {
  connect_done_ = std::move(done);
  socket_.async_connect(
      endpoint, [self = shared_from_this()](const ErrorCode& error) {
        if (!self->connect_done_) return;
        ErrorCode ignored;
        if (!error) {
          self->socket_.set_option(tcp::no_delay(true), ignored);
          self->socket_.non_blocking(true, ignored);
        }
        std::exchange(self->connect_done_, nullptr)(error);
      });
}

void ClientConnection::Send(std::string request, ExchangeCallback done) {
  request_ = std::move(request);
  exchange_done_ = std::move(done);
  reusable_ = false;
  ErrorCode error;
  const std::size_t written = socket_.write_some(asio::buffer(request_), error);
  if (error == asio::error::would_block) error.clear();
  if (error && written == 0) {
    Finish(ExchangeOutcome::kNotWritten);
  } else {
    WriteRest(written);
  }
}

void ClientConnection::WriteRest(std::size_t written) {
  if (written == request_.size()) {
    Read();
    return;
  }
  asio::async_write(
      socket_, asio::buffer(request_) + written,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        if (!self->exchange_done_) return;
        if (error) {
          self->Finish(ExchangeOutcome::kLost);
        } else {
          self->Read();
        }
      });
}

void ClientConnection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        if (!self->exchange_done_) return;
        self->Finish(error ? ExchangeOutcome::kLost
                           : ExchangeOutcome::kAnswered);
      });
}

void ClientConnection::Finish(ExchangeOutcome outcome) {
  Exchange exchange;
  exchange.outcome = outcome;
  if (outcome == ExchangeOutcome::kAnswered) {
    exchange.response = parser_->release();
    reusable_ = exchange.response.keep_alive() && buffer_.size() == 0;
  }
  std::exchange(exchange_done_, nullptr)(std::move(exchange));
}

bool ClientConnection::IsStale() {
  if (buffer_.size() > 0) return true;
  std::array<char, 1> byte{};
  ErrorCode error;
  socket_.receive(asio::buffer(byte), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

void ClientConnection::Close() {
  connect_done_ = nullptr;
  exchange_done_ = nullptr;
  reusable_ = false;
  ErrorCode ignored;
  socket_.close(ignored);
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const std::string& host, const std::string& body) {
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + host;
  if (!body.empty() || method != "GET") {
    request += "\r\nContent-Type: application/json\r\nContent-Length: ";
    request += std::to_string(body.size());
  }
  request += "\r\n\r\n";
  request += body;
  return request;
}

}  // namespace berylreach::transport
