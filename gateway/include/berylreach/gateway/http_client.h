// An HTTP client for this host's own requests to one server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "berylreach/gateway/client_connection.h"

namespace berylreach::gateway {

/// Outcome of one request: status, fields and body of the response, or status 0
/// if there was no response. A request without a response may still take
/// effect, unless `failure` says that it was not sent.
struct HttpAnswer {
  int status = 0;
  HttpFields fields;
  std::string body;
  /// Why there was no response.
  std::optional<ExchangeFailure> failure;

  friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

/// Maximum size of a response that holds many records: a page or changes of the
/// store, or a feed of another host.
inline constexpr std::size_t kMaxRecordsResponseBytes =
    std::size_t{16} * 1024 * 1024;

/// Sends one request at a time over one connection with TCP keep-alive probes.
/// All calls must come from the event loop's thread.
class HttpClient : public ClientConnectionHandler {
 public:
  using OnAnswer = std::function<void(HttpAnswer)>;

  /// A response of more than `max_response_bytes` counts as none.
  HttpClient(boost::asio::io_context& io, const base::Clock& clock,
             std::size_t max_response_bytes);
  ~HttpClient() override;

  /// Sends a request to `address` ("IP:port"). `body` is JSON and is sent with
  /// all methods but GET. The request fails if there is no response within
  /// `timeout`. An earlier request that is still running is dropped, and its
  /// answer is not reported.
  void Call(const std::string& address, const std::string& method,
            const std::string& target, const std::string& body,
            std::chrono::milliseconds timeout, OnAnswer on_answer);

  bool busy() const { return static_cast<bool>(on_answer_); }
  /// Drops the running request; its answer is not reported.
  void Cancel();
  /// Fails a request whose deadline has passed.
  void CheckTimeouts();

 private:
  void OnResponse(ClientConnection& connection, HttpResponse response,
                  bool reusable) override;
  void OnExchangeFailed(ClientConnection& connection,
                        ExchangeFailure failure) override;
  void OnOpened(ClientConnection&) override {}
  void OnIdleClosed(ClientConnection& connection, bool reset) override;
  void Answer(HttpAnswer answer);

  boost::asio::io_context& io_;
  const base::Clock& clock_;
  const std::size_t max_response_bytes_;
  std::string address_;
  std::shared_ptr<ClientConnection> connection_;
  OnAnswer on_answer_;
};

}  // namespace berylreach::gateway
