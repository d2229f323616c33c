// One HTTP request and its response over a TCP connection.
#include "exchange.h"

#include <cstdint>
#include <utility>

namespace berylreach::load {
namespace {

constexpr std::uint64_t kMaxBodyBytes = 256ULL << 20;

/// Parses "IP:port"; throws if it is malformed.
tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

ExchangeOutcome OutcomeOfError(const Error& error) {
  return error == beast::error::timeout ? ExchangeOutcome::kTimedOut
                                        : ExchangeOutcome::kConnectionLost;
}

}  // namespace

Exchange::Exchange(asio::io_context& io, Callback done)
    : stream_(io), done_(std::move(done)) {}

void Exchange::Start(const std::string& address,
                     std::optional<tcp::socket> reused, http::verb verb,
                     const std::string& target, std::string body,
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
    if (error) return self->Finish(ExchangeOutcome::kNoConnection);
    self->stream_.socket().set_option(tcp::no_delay(true), error);
    self->Write();
  });
}

void Exchange::Write() {
  auto self = shared_from_this();
  http::async_write(stream_, request_, [self](Error error, std::size_t) {
    if (error) return self->Finish(OutcomeOfError(error));
    http::async_read(
        self->stream_, self->buffer_, self->parser_,
        [self](Error read, std::size_t) {
          self->Finish(read ? OutcomeOfError(read) : ExchangeOutcome::kReplied);
        });
  });
}

void Exchange::Finish(ExchangeOutcome outcome) {
  Reply reply;
  reply.outcome = outcome;
  std::optional<tcp::socket> socket;
  if (outcome == ExchangeOutcome::kReplied) {
    reply.status = static_cast<int>(parser_.get().result_int());
    reply.body = std::move(parser_.get().body());
    if (parser_.get().keep_alive()) {
      stream_.expires_never();
      socket = stream_.release_socket();
    }
  }
  done_(std::move(reply), std::move(socket));
}

bool IsStale(tcp::socket& socket) {
  char byte = 0;
  Error error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace berylreach::load
