// Reads requests and writes responses over an HTTP/1.1 server connection.
#include "berylreach/gateway/server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <unordered_set>
#include <utility>

#include "address.h"

namespace berylreach::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Maximum number of buffered bytes of pipelined requests, which the peer sends
/// before it has the response to an earlier request.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

/// Bytes read from one connection before other connections and timers run.
constexpr std::size_t kMaxBytesPerTurn = std::size_t{256} * 1024;

/// Time for which a connection stays half open after its last response, so that
/// the peer can read it.
constexpr std::chrono::milliseconds kLingerTime{500};

/// Parser that knows which fields arrived before the body. Beast puts the
/// fields of a trailer next to those of the header.
class RequestParser : public http::request_parser<http::string_body> {
 public:
  /// Returns the fields of the request, which must be complete.
  HttpFields Fields() const {
    HttpFields fields;
    for (const auto& field : get()) {
      const auto name = field.name_string();
      const auto value = field.value();
      const bool in_trailer = chunked() && !header_fields_.contains(&field);
      const auto add = in_trailer ? &HttpFields::AddTrailer : &HttpFields::Add;
      (fields.*add)({name.data(), name.size()}, {value.data(), value.size()});
    }
    return fields;
  }

 private:
  void on_header_impl(error_code& error) override {
    error = {};
    // Only a chunked body can be followed by a trailer.
    if (!chunked()) return;
    for (const auto& field : get()) header_fields_.insert(&field);
  }

  std::unordered_set<const void*> header_fields_;
};

}  // namespace

struct ServerConnection::Parser {
  RequestParser http;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   ServerConnectionHandler& handler,
                                   const base::Clock& clock,
                                   forward::CallerLimits limits)
    : socket_(std::move(socket)),
      handler_(handler),
      clock_(clock),
      limits_(limits),
      waiting_since_(clock.Now()) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  WaitRead();
}

void ServerConnection::WaitRead() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->reading_ = false;
                       if (!self->closed_ && !error) self->OnReadable();
                     });
}

void ServerConnection::OnReadable() {
  const auto self = shared_from_this();
  std::size_t bytes_read = 0;
  while (!closed_ && bytes_read < kMaxBytesPerTurn) {
    error_code error;
    const std::size_t size = socket_.read_some(
        asio::buffer(ReadBuffer::Data(), ReadBuffer::kBytes), error);
    if (error == asio::error::would_block) break;
    if (error) {
      OnPeerClosed();
      return;
    }
    bytes_read += size;
    if (lingering_) continue;
    if (unparsed_.empty() && parser_ == nullptr && !awaiting_response_)
      waiting_since_ = clock_.Now();
    unparsed_.append(ReadBuffer::Data(), size);
    if (!awaiting_response_ && !writing_) Parse();
    // Reads no more from a peer that keeps sending; reading continues when its
    // request is answered.
    if (awaiting_response_ && unparsed_.size() > kMaxPipelinedBytes) return;
    if (size < ReadBuffer::kBytes) break;
  }
  WaitRead();
}

void ServerConnection::Parse() {
  // The handler may respond at once, and OnWritten then calls Parse for the
  // next request. The loop below reads it, so that there is no recursion.
  if (parsing_) return;
  parsing_ = true;
  while (!closed_ && !awaiting_response_ && !writing_ && !lingering_ &&
         !unparsed_.empty()) {
    if (parser_ == nullptr) {
      parser_ = std::make_unique<Parser>();
      parser_->http.eager(true);
      parser_->http.header_limit(
          static_cast<std::uint32_t>(limits_.max_header_bytes));
      parser_->http.body_limit(limits_.max_body_bytes);
    }
    error_code error;
    const std::size_t used = parser_->http.put(asio::buffer(unparsed_), error);
    unparsed_.erase(0, used);
    if (error == http::error::need_more) break;
    if (error == http::error::header_limit) {
      Reject(431, "Request Header Fields Too Large");
    } else if (error == http::error::body_limit) {
      Reject(413, "Content Too Large");
    } else if (error) {
      Reject(400, "Bad Request");
    } else if (parser_->http.is_done()) {
      Deliver();
    }
  }
  parsing_ = false;
}

void ServerConnection::Deliver() {
  HttpRequest request;
  request.fields = parser_->http.Fields();
  auto message = parser_->http.release();
  parser_.reset();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  awaiting_response_ = true;
  close_after_write_ = !request.keep_alive;
  handler_.OnRequest(*this, std::move(request));
}

void ServerConnection::Reject(int status, const char* reason) {
  awaiting_response_ = true;
  const std::string bytes =
      "HTTP/1.1 " + std::to_string(status) + " " + reason +
      "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  Respond(bytes, false);
}

void ServerConnection::Respond(const std::string& bytes, bool keep_alive) {
  if (closed_) return;
  awaiting_response_ = false;
  close_after_write_ = close_after_write_ || !keep_alive;
  Send(bytes);
}

void ServerConnection::RespondInterim(const std::string& bytes) {
  if (!closed_ && awaiting_response_) Send(bytes);
}

void ServerConnection::Send(const std::string& bytes) {
  write_buffer_.append(bytes);
  // A write in progress continues with the appended bytes.
  if (std::exchange(writing_, true)) return;
  Write();
}

void ServerConnection::Write() {
  const auto self = shared_from_this();
  while (written_ < write_buffer_.size()) {
    error_code error;
    written_ +=
        socket_.write_some(asio::buffer(write_buffer_.data() + written_,
                                        write_buffer_.size() - written_),
                           error);
    if (!error) continue;
    if (error != asio::error::would_block) {
      // The handler may be in the middle of an event of this request, so it is
      // notified later.
      asio::post(socket_.get_executor(), [self] {
        if (!self->closed_) self->OnPeerClosed();
      });
      return;
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self](error_code failed) {
                         if (!self->closed_ && !failed) self->Write();
                       });
    return;
  }
  OnWritten();
}

void ServerConnection::OnWritten() {
  writing_ = false;
  write_buffer_.clear();
  written_ = 0;
  if (awaiting_response_) return;
  waiting_since_ = clock_.Now();
  if (close_after_write_) {
    // Closing a socket with unread bytes resets the connection, and the peer
    // could lose the response. So only the sending side is shut down, and the
    // peer closes first.
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    lingering_ = true;
    unparsed_.clear();
    WaitRead();
    return;
  }
  Parse();
  WaitRead();
}

void ServerConnection::OnPeerClosed() {
  const auto self = shared_from_this();
  Close();
  handler_.OnClosed(*this);
}

void ServerConnection::Close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void ServerConnection::CheckTimeouts(base::TimePoint now) {
  if (closed_ || awaiting_response_) return;
  const auto waited = now - waiting_since_;
  if (lingering_) {
    if (waited >= kLingerTime) OnPeerClosed();
    return;
  }
  if (writing_) {
    if (waited >= limits_.idle_timeout) OnPeerClosed();
    return;
  }
  const bool idle = parser_ == nullptr && unparsed_.empty();
  if (idle) {
    if (waited >= limits_.idle_timeout) OnPeerClosed();
    return;
  }
  const bool header_done = parser_ != nullptr && parser_->http.is_header_done();
  const auto limit =
      header_done ? limits_.idle_timeout : limits_.header_timeout;
  if (waited >= limit) Reject(408, "Request Timeout");
}

void ServerConnection::CloseIfIdle() {
  if (closed_ || awaiting_response_ || writing_ || lingering_) return;
  if (parser_ != nullptr || !unparsed_.empty()) return;
  OnPeerClosed();
}

}  // namespace berylreach::gateway
