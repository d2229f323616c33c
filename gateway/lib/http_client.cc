// Sends requests over one connection, which is reopened after a failure.
#include "berylreach/gateway/http_client.h"

#include <utility>

namespace berylreach::gateway {
namespace {

/// Time limit for opening a connection.
constexpr std::chrono::milliseconds kConnectTimeout{1000};

/// Idle time after which keep-alive probes are sent.
constexpr std::chrono::seconds kTcpKeepAliveIdle{1};

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io, const base::Clock& clock,
                       std::size_t max_response_bytes)
    : io_(io), clock_(clock), max_response_bytes_(max_response_bytes) {}

HttpClient::~HttpClient() {
  if (connection_) connection_->Close();
}

void HttpClient::Call(const std::string& address, const std::string& method,
                      const std::string& target, const std::string& body,
                      std::chrono::milliseconds timeout, OnAnswer on_answer) {
  std::string bytes =
      method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
  if (method != "GET") {
    bytes += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n" + body;
  const base::TimePoint now = clock_.Now();
  const bool reusable = connection_ && !connection_->closed() &&
                        !connection_->busy() && address == address_;
  on_answer_ = std::move(on_answer);
  if (reusable) {
    connection_->Send(std::move(bytes), false, now + timeout);
    return;
  }
  if (connection_) connection_->Close();
  address_ = address;
  connection_ = std::make_shared<ClientConnection>(io_, *this, clock_);
  connection_->EnableTcpKeepAlive(kTcpKeepAliveIdle);
  connection_->SetMaxResponseBytes(max_response_bytes_);
  connection_->Open(address_, std::move(bytes), false, now + kConnectTimeout,
                    now + timeout);
}

void HttpClient::Cancel() {
  if (!on_answer_) return;
  on_answer_ = nullptr;
  if (connection_) connection_->Close();
  connection_.reset();
}

void HttpClient::CheckTimeouts() {
  const auto connection = connection_;
  if (connection) connection->CheckTimeouts(clock_.Now());
}

void HttpClient::OnResponse(ClientConnection&, HttpResponse response, bool) {
  Answer({.status = response.status,
          .fields = std::move(response.fields),
          .body = std::move(response.body)});
}

void HttpClient::OnExchangeFailed(ClientConnection&, ExchangeFailure failure) {
  connection_.reset();
  Answer({.failure = failure});
}

void HttpClient::OnIdleClosed(ClientConnection&, bool) { connection_.reset(); }

void HttpClient::Answer(HttpAnswer answer) {
  if (on_answer_) std::exchange(on_answer_, nullptr)(std::move(answer));
}

}  // namespace berylreach::gateway
