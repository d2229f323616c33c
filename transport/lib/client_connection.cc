// The client side of one HTTP connection.
#include "client_connection.h"

#include <algorithm>
#include <array>
#include <utility>

namespace berylreach::transport {
namespace {

/// Maximum size of an answer from a leaf, the store or the host list.
constexpr std::size_t kMaxAnswerBytes = std::size_t{16} * 1024 * 1024;

/// Maximum size of one read.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

/// Maximum size of received bytes that are not parsed yet: a header, a chunk's
/// extensions or a trailer, which are parsed as a whole.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} * 1024;

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context,
                                   base::ReceiveQuota& quota)
    : socket_(context), quota_(quota), buffer_(kMaxUnparsedBytes) {}

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
  parser_->body_limit(kMaxAnswerBytes);
  parser_->eager(true);
  received_ = 0;
  ReadSome();
}

void ClientConnection::ReadSome() {
  const std::size_t room =
      std::min(kReadBytes, buffer_.max_size() - buffer_.size());
  if (room == 0) {
    Finish(ExchangeOutcome::kLost);
    return;
  }
  socket_.async_read_some(
      buffer_.prepare(room),
      [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
        if (!self->exchange_done_) return;
        self->buffer_.commit(size);
        if (error) {
          self->OnEnd(error == asio::error::eof);
        } else if (self->CountBytes(size)) {
          self->Parse();
        } else if (self->exchange_done_) {
          self->Finish(ExchangeOutcome::kLost);
        }
      });
}

bool ClientConnection::CountBytes(std::size_t size) {
  received_ += size;
  if (received_ > kMaxAnswerBytes || !quota_.Take(*this, size)) return false;
  // The quota may have given up other exchanges, whose end may end this one.
  if (!exchange_done_) quota_.Return(*this);
  return static_cast<bool>(exchange_done_);
}

void ClientConnection::Parse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    ErrorCode error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) break;
    if (error) {
      Finish(ExchangeOutcome::kLost);
      return;
    }
  }
  if (parser_->is_done()) {
    Finish(ExchangeOutcome::kAnswered);
  } else {
    ReadSome();
  }
}

void ClientConnection::OnEnd(bool clean) {
  ErrorCode error;
  // An answer without a stated length is completed by the end of the stream.
  if (clean && parser_->got_some()) parser_->put_eof(error);
  Finish(clean && !error && parser_->is_done() ? ExchangeOutcome::kAnswered
                                               : ExchangeOutcome::kLost);
}

void ClientConnection::Finish(ExchangeOutcome outcome) {
  quota_.Return(*this);
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
  quota_.Return(*this);
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
