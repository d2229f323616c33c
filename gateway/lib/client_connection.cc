// Reads and writes the exchanges of an HTTP/1.1 client connection.
#include "berylreach/gateway/client_connection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

#include "address.h"
#include "response_status.h"

namespace berylreach::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Default maximum size of a response.
constexpr std::size_t kMaxResponseBytes = std::size_t{16} * 1024 * 1024;

/// Bytes read from one connection before other connections and timers run.
constexpr std::size_t kMaxBytesPerTurn = std::size_t{256} * 1024;

/// Interval of keep-alive probes, and the number of unanswered probes after
/// which the connection fails.
constexpr int kTcpKeepAliveIntervalSeconds = 1;
constexpr int kTcpKeepAliveProbes = 1;

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

/// Classifies the status of the response that is being parsed; one whose header
/// is incomplete counts as final.
StatusKind StatusOf(const http::response_parser<http::string_body>& parser) {
  if (!parser.is_header_done()) return StatusKind::kFinal;
  return ClassifyStatus(static_cast<int>(parser.get().result_int()));
}

}  // namespace

std::string_view NameOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotSent:
      return "not_sent";
    case ExchangeFailure::kRefused:
      return "refused";
    case ExchangeFailure::kBroken:
      return "broken";
    case ExchangeFailure::kTimedOut:
      return "timed_out";
  }
  return "";
}

/// Wraps the parser so that the header does not include Boost.Beast.
struct ClientConnection::Parser {
  http::response_parser<http::string_body> http;
};

ClientConnection::ClientConnection(asio::io_context& io,
                                   ClientConnectionHandler& handler,
                                   const base::Clock& clock)
    : socket_(io),
      handler_(handler),
      clock_(clock),
      max_response_bytes_(kMaxResponseBytes) {}

ClientConnection::~ClientConnection() { ReturnToQuota(); }

void ClientConnection::Open(const std::string& address, std::string bytes,
                            bool is_head, base::TimePoint connect_deadline,
                            base::TimePoint response_deadline) {
  connect_deadline_ = connect_deadline;
  response_deadline_ = response_deadline;
  head_request_ = is_head;
  busy_ = true;
  write_buffer_ = std::move(bytes);
  written_ = 0;
  const auto endpoint = ParseEndpoint(address);
  const auto self = shared_from_this();
  if (!endpoint) {
    // A failure must not be reported to the handler before Open returns.
    asio::post(socket_.get_executor(), [self] {
      if (!self->closed_) self->Fail(ExchangeFailure::kNotSent);
    });
    return;
  }
  socket_.async_connect(*endpoint, [self](error_code error) {
    if (self->closed_) return;
    if (error) {
      self->Fail(error == asio::error::connection_refused
                     ? ExchangeFailure::kRefused
                     : ExchangeFailure::kNotSent);
      return;
    }
    self->OnConnected();
  });
}

void ClientConnection::OnConnected() {
  connected_ = true;
  error_code ignored;
  // Without this option a small request waits for the acknowledgement of the
  // previous one (Nagle's algorithm).
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  if (tcp_keep_alive_idle_.count() > 0) SetTcpKeepAlive();
  StartParser();
  if (write_buffer_.empty()) {
    // Opened without a request, or the request was withdrawn.
    busy_ = false;
    idle_since_ = clock_.Now();
    WaitRead();
    handler_.OnOpened(*this);
    return;
  }
  Write();
  if (!closed_) WaitRead();
}

void ClientConnection::StartParser() {
  parser_ = std::make_unique<Parser>();
  parser_->http.eager(true);
  parser_->http.body_limit(max_response_bytes_);
  parser_->http.skip(head_request_);
}

void ClientConnection::SetTcpKeepAlive() {
  error_code ignored;
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(
      TcpOption<TCP_KEEPIDLE>(static_cast<int>(tcp_keep_alive_idle_.count())),
      ignored);
  socket_.set_option(TcpOption<TCP_KEEPINTVL>(kTcpKeepAliveIntervalSeconds),
                     ignored);
  socket_.set_option(TcpOption<TCP_KEEPCNT>(kTcpKeepAliveProbes), ignored);
}

void ClientConnection::Send(std::string bytes, bool is_head,
                            base::TimePoint response_deadline) {
  response_deadline_ = response_deadline;
  head_request_ = is_head;
  busy_ = true;
  write_buffer_ = std::move(bytes);
  written_ = 0;
  StartParser();
  // A failure must not be reported to the handler before Send returns.
  error_code error;
  written_ = socket_.write_some(asio::buffer(write_buffer_), error);
  if (error && error != asio::error::would_block) {
    const auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self] {
      if (!self->closed_ && self->busy_) self->Fail(ExchangeFailure::kBroken);
    });
    return;
  }
  if (written_ < write_buffer_.size()) Write();
}

bool ClientConnection::Withdraw() {
  if (closed_ || connected_) return false;
  write_buffer_.clear();
  return true;
}

void ClientConnection::Write() {
  while (written_ < write_buffer_.size()) {
    error_code error;
    written_ +=
        socket_.write_some(asio::buffer(write_buffer_.data() + written_,
                                        write_buffer_.size() - written_),
                           error);
    if (!error) continue;
    if (error != asio::error::would_block) {
      Fail(ExchangeFailure::kBroken);
      return;
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](error_code failed) {
                         if (!self->closed_ && !failed) self->Write();
                       });
    return;
  }
}

void ClientConnection::WaitRead() {
  if (reading_) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->reading_ = false;
                       if (!self->closed_ && !error) self->OnReadable();
                     });
}

void ClientConnection::OnReadable() {
  const auto self = shared_from_this();
  std::size_t bytes_read = 0;
  while (!closed_ && bytes_read < kMaxBytesPerTurn) {
    error_code error;
    const std::size_t size = socket_.read_some(
        asio::buffer(ReadBuffer::Data(), ReadBuffer::kBytes), error);
    if (error == asio::error::would_block) break;
    if (error) {
      OnEnd(error == asio::error::eof);
      return;
    }
    if (!busy_) {
      // These bytes belong to no request, so responses on this connection can
      // no longer be matched to requests.
      Close();
      handler_.OnIdleClosed(*this, /*reset=*/false);
      return;
    }
    if (!CountBytes(size)) {
      if (!closed_) Fail(ExchangeFailure::kBroken);
      return;
    }
    Consume(ReadBuffer::Data(), size);
    bytes_read += size;
    if (size < ReadBuffer::kBytes) break;
  }
  if (!closed_) WaitRead();
}

bool ClientConnection::CountBytes(std::size_t size) {
  if (received_ + size > max_response_bytes_) return false;
  if (quota_ != nullptr && !quota_->Take(*this, size)) return false;
  received_ += size;
  // The quota may have given up other exchanges, whose end closes this
  // connection if they belong to the same request.
  if (closed_) ReturnToQuota();
  return !closed_;
}

void ClientConnection::ReturnToQuota() {
  // The destructor of a closed connection may run after that of the quota,
  // which must then not be accessed. Close has returned all bytes, so
  // `received_` is 0.
  if (quota_ != nullptr && received_ > 0) quota_->Return(*this);
  received_ = 0;
}

void ClientConnection::Consume(const char* data, std::size_t size) {
  std::string buffer = std::exchange(unparsed_, {});
  if (!buffer.empty()) {
    buffer.append(data, size);
    data = buffer.data();
    size = buffer.size();
  }
  std::size_t used = 0;
  while (used < size && !parser_->http.is_done()) {
    error_code error;
    used += parser_->http.put(asio::buffer(data + used, size - used), error);
    const bool more = error == http::error::need_more;
    const StatusKind status = StatusOf(parser_->http);
    if ((error && !more) || status == StatusKind::kInvalid) {
      Fail(ExchangeFailure::kBroken);
      return;
    }
    if (more) break;
    const bool interim =
        parser_->http.is_done() && status == StatusKind::kInterim;
    if (interim && !DeliverInterim()) return;
  }
  if (!parser_->http.is_done()) {
    // `data` may be the read buffer, which other connections overwrite.
    unparsed_.assign(data + used, size - used);
    return;
  }
  // A connection cannot be reused if bytes follow the response or the request
  // is not completely written.
  const bool extra = used < size;
  FinishResponse(!extra && written_ == write_buffer_.size() &&
                 parser_->http.keep_alive());
}

bool ClientConnection::DeliverInterim() {
  const HttpResponse interim = TakeResponse();
  StartParser();
  handler_.OnInterim(*this, interim);
  return !closed_;
}

void ClientConnection::OnEnd(bool clean) {
  if (!busy_) {
    Close();
    handler_.OnIdleClosed(*this, /*reset=*/!clean);
    return;
  }
  error_code error;
  // A response without a stated length is completed by the end of the stream.
  if (clean && parser_->http.is_header_done()) parser_->http.put_eof(error);
  if (clean && !error && parser_->http.is_done()) {
    FinishResponse(false);
    return;
  }
  Fail(ExchangeFailure::kBroken);
}

HttpResponse ClientConnection::TakeResponse() {
  auto message = parser_->http.release();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.reason = std::string(message.reason());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    response.fields.Add({name.data(), name.size()},
                        {value.data(), value.size()});
  }
  response.body = std::move(message.body());
  return response;
}

void ClientConnection::FinishResponse(bool reusable) {
  HttpResponse response = TakeResponse();
  keep_alive_ = KeepAliveTimeout(response.fields);
  busy_ = false;
  idle_since_ = clock_.Now();
  ReturnToQuota();
  if (!reusable) Close();
  handler_.OnResponse(*this, std::move(response), reusable);
}

void ClientConnection::Fail(ExchangeFailure failure) {
  const auto self = shared_from_this();
  Close();
  busy_ = false;
  handler_.OnExchangeFailed(*this, failure);
}

void ClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  ReturnToQuota();
  error_code ignored;
  socket_.close(ignored);
}

void ClientConnection::CheckTimeouts(base::TimePoint now) {
  if (closed_ || !busy_) return;
  if (!connected_ && now >= connect_deadline_) {
    Fail(ExchangeFailure::kNotSent);
  } else if (now >= response_deadline_) {
    Fail(ExchangeFailure::kTimedOut);
  }
}

}  // namespace berylreach::gateway
