// One connection of the HTTP server.
#include "http_connection.h"

#include <algorithm>
#include <utility>

#include "http_server_impl.h"

namespace berylreach::transport {
namespace {

/// How long a client may take to close a connection after the sending side was
/// shut down.
constexpr std::chrono::seconds kLingerTime{1};
constexpr int kHttpVersion = 11;

std::string RefusalBody(const std::string& code, const std::string& message,
                        int retry_after_ms) {
  return R"({"error":{"code":")" + code + R"(","message":")" + message +
         R"("},"ran":"not_run","retry_after_ms":)" +
         std::to_string(retry_after_ms) + "}";
}

http::response<http::string_body> ToBeast(HttpResponse response) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), kHttpVersion);
  message.set(http::field::content_type, response.content_type);
  for (const HttpField& field : response.fields)
    message.set(field.name, field.value);
  message.body() = std::move(response.body);
  return message;
}

bool IsHttpError(const ErrorCode& error) {
  return error.category() ==
         make_error_code(http::error::bad_method).category();
}

}  // namespace

HttpConnection::HttpConnection(HttpServer::Impl& server, tcp::socket socket,
                               std::uint64_t id, std::size_t listener)
    : server_(server),
      socket_(std::move(socket)),
      id_(id),
      listener_(listener),
      buffer_(server.options.max_header_bytes + server.options.max_body_bytes),
      idle_since_(std::chrono::steady_clock::now()) {
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void HttpConnection::Start() { ReadNext(); }

void HttpConnection::Refuse() {
  RejectWith(http::status::service_unavailable,
             RefusalBody("overloaded", "too many connections", 1000));
}

void HttpConnection::Respond(std::uint64_t request, HttpResponse response) {
  const auto slot = std::find_if(
      slots_.begin(), slots_.end(),
      [&](const Slot& candidate) { return candidate.request == request; });
  if (slot == slots_.end() || slot->response) return;
  slot->response = ToBeast(std::move(response));
  WriteNext();
}

void HttpConnection::Close() {
  if (closed_) return;
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  // The slots are kept because a write in progress still refers to the response
  // in its slot.
  std::vector<HttpToken> unanswered;
  for (const Slot& slot : slots_) {
    if (slot.request == 0) continue;
    --server_.open_requests;
    if (!slot.response) unanswered.push_back({id_, slot.request});
  }
  const auto self = shared_from_this();
  server_.RemoveConnection(id_);
  for (const HttpToken& token : unanswered)
    if (server_.handler != nullptr)
      server_.handler->OnClientDisconnected(token);
}

bool HttpConnection::IsIdle() {
  ErrorCode ignored;
  return slots_.empty() && buffer_.size() == 0 &&
         !(parser_ && parser_->got_some()) && socket_.available(ignored) == 0;
}

void HttpConnection::CloseIfStale(std::chrono::steady_clock::time_point now) {
  const auto limit =
      send_closed_
          ? std::chrono::duration_cast<std::chrono::milliseconds>(kLingerTime)
          : server_.options.idle_timeout;
  if (slots_.empty() && now - idle_since_ > limit) Close();
}

void HttpConnection::ReadNext() {
  if (reading_ || closed_) return;
  if (input_ended_) {
    Discard();
    return;
  }
  if (slots_.size() >= server_.options.max_pipelined) return;
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(server_.options.max_header_bytes));
  parser_->body_limit(server_.options.max_body_bytes);
  reading_ = true;
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        self->reading_ = false;
        self->OnRead(error);
      });
}

void HttpConnection::OnRead(const ErrorCode& error) {
  if (closed_) return;
  if (send_closed_) {
    Discard();
  } else if (!error) {
    Deliver();
  } else if (IsHttpError(error) && error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    Reject(error);
  } else {
    Close();
  }
}

void HttpConnection::Deliver() {
  auto message = parser_->release();
  parser_.reset();
  const HttpToken token{id_, next_request_++};
  slots_.push_back({token.request, message.keep_alive(), std::nullopt});
  if (!message.keep_alive()) input_ended_ = true;
  ++server_.open_requests;
  HttpRequest request;
  request.token = token;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  request.listener = listener_;
  if (server_.handler != nullptr)
    server_.handler->OnRequest(std::move(request));
  ReadNext();
}

void HttpConnection::Reject(const ErrorCode& error) {
  if (error == http::error::body_limit) {
    RejectWith(http::status::payload_too_large,
               RefusalBody("bad_request", "the body is too large", 0));
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    RejectWith(http::status::request_header_fields_too_large,
               RefusalBody("bad_request", "the header is too large", 0));
  } else {
    RejectWith(http::status::bad_request,
               RefusalBody("bad_request", "malformed HTTP request", 0));
  }
}

void HttpConnection::RejectWith(http::status status, const std::string& body) {
  input_ended_ = true;
  HttpResponse response;
  response.status = static_cast<int>(status);
  response.body = body;
  slots_.push_back({0, false, ToBeast(std::move(response))});
  WriteNext();
  Discard();
}

void HttpConnection::Discard() {
  if (discarding_ || reading_ || closed_) return;
  discarding_ = true;
  socket_.async_read_some(
      asio::buffer(scratch_),
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        self->discarding_ = false;
        if (error) {
          self->Close();
        } else {
          self->Discard();
        }
      });
}

void HttpConnection::WriteNext() {
  if (writing_ || closed_ || slots_.empty() || !slots_.front().response) return;
  Slot& slot = slots_.front();
  ErrorCode ignored;
  const bool more_input =
      slots_.size() > 1 || buffer_.size() > 0 || socket_.available(ignored) > 0;
  const bool close = !slot.keep_alive || (server_.stopping && !more_input);
  slot.response->keep_alive(!close);
  slot.response->prepare_payload();
  writing_ = true;
  http::async_write(
      socket_, *slot.response,
      [self = shared_from_this(), close](const ErrorCode& error, std::size_t) {
        self->writing_ = false;
        self->OnWritten(error, close);
      });
}

void HttpConnection::OnWritten(const ErrorCode& error, bool close) {
  if (closed_) return;
  if (error) {
    Close();
    return;
  }
  if (slots_.front().request != 0) --server_.open_requests;
  slots_.pop_front();
  idle_since_ = std::chrono::steady_clock::now();
  if (close) {
    FinishSending();
    return;
  }
  WriteNext();
  ReadNext();
}

void HttpConnection::FinishSending() {
  send_closed_ = true;
  input_ended_ = true;
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  Discard();
}

}  // namespace berylreach::transport
