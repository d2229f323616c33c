// Blocking HTTP client for the tests of the stand-ins.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace berylreach::standins {

namespace json = boost::json;
namespace http = boost::beast::http;

/// An HTTP response; status 0 if the connection was closed without one.
struct TestAnswer {
  int status = 0;
  std::string body;
  /// X-Consul-Index; empty if absent.
  std::string index;

  json::value Json() const { return json::parse(body); }
};

/// One connection to a stand-in. The constructor connects and throws on
/// failure.
class TestClient {
 public:
  explicit TestClient(std::string_view address) : stream_(io_) {
    const auto colon = address.rfind(':');
    stream_.connect(
        {boost::asio::ip::make_address(std::string(address.substr(0, colon))),
         static_cast<std::uint16_t>(
             std::stoi(std::string(address.substr(colon + 1))))});
  }

  void Write(std::string_view method, std::string_view target,
             std::string body = {}) {
    http::request<http::string_body> request;
    request.method_string({method.data(), method.size()});
    request.target({target.data(), target.size()});
    request.version(11);
    request.set(http::field::host, "test");
    request.body() = std::move(body);
    request.prepare_payload();
    http::write(stream_, request);
  }

  TestAnswer Read() {
    http::response<http::string_body> response;
    boost::system::error_code error;
    http::read(stream_, buffer_, response, error);
    if (error) return {};
    return {static_cast<int>(response.result_int()), response.body(),
            std::string(response["X-Consul-Index"])};
  }

  TestAnswer Send(std::string_view method, std::string_view target,
                  std::string body = {}) {
    Write(method, target, std::move(body));
    return Read();
  }

 private:
  boost::asio::io_context io_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
};

/// Sends one request on a new connection and waits for the response.
inline TestAnswer Send(std::string_view address, std::string_view method,
                       std::string_view target, std::string body = {}) {
  return TestClient(address).Send(method, target, std::move(body));
}

/// Sends `fields`, the text of a JSON object, to the control endpoint.
inline void Control(std::string_view address, std::string fields) {
  Send(address, "POST", "/control", std::move(fields));
}

/// Reads the counters from the control endpoint.
inline json::object Counters(std::string_view address) {
  return Send(address, "GET", "/control").Json().as_object();
}

/// Polls until a counter has `value`. It has no timeout of its own and relies
/// on that of the test.
inline void WaitForCounter(std::string_view address, std::string_view name,
                           std::int64_t value) {
  while (Counters(address).at(name) != json::value(value)) {
  }
}

}  // namespace berylreach::standins
