// Guards against malformed requests on the wire, calls that exceed their
// timeout and truncated responses that pass as complete ones.
#include "berylreach/berylctl/beast_http_client.h"

#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace berylreach::berylctl {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::StartsWith;

/// Accepts one connection, reads until `request_end` has arrived and sends a
/// fixed response; an empty one means that nothing is sent. Then reads until
/// the client closes the connection.
class SingleRequestServer {
 public:
  SingleRequestServer(std::string request_end, std::string response)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(listener_, generic, size), 0);
    EXPECT_EQ(listen(listener_, 1), 0);
    EXPECT_EQ(getsockname(listener_, generic, &size), 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    thread_ = std::thread([this, request_end, response] {
      received_ = Serve(request_end, response);
    });
  }
  ~SingleRequestServer() {
    if (thread_.joinable()) thread_.join();
    close(listener_);
  }

  const std::string& address() const { return address_; }

  /// Waits until the connection is closed and returns all that was received.
  std::string Received() {
    thread_.join();
    return received_;
  }

 private:
  std::string Serve(const std::string& request_end,
                    const std::string& response) const {
    const int connection = accept(listener_, nullptr, nullptr);
    std::string text;
    bool responded = response.empty();
    std::array<char, 4096> buffer{};
    while (true) {
      const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      text.append(buffer.data(), static_cast<std::size_t>(count));
      if (responded || text.find(request_end) == std::string::npos) continue;
      responded = true;
      send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    }
    close(connection);
    return text;
  }

  int listener_;
  std::string address_;
  std::string received_;
  std::thread thread_;
};

TEST(BeastHttpClientTest, SendsAPutAndReadsTheResponse) {
  SingleRequestServer server(
      "\r\n\r\nvalue", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue");
  BeastHttpClient client{milliseconds(10'000)};
  const auto response = client.Send(
      {server.address(), "PUT", "/v1/kv/trial/head?cas=3", "value"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200U);
  EXPECT_EQ(response->body, "true");
  const std::string received = server.Received();
  EXPECT_THAT(received, StartsWith("PUT /v1/kv/trial/head?cas=3 HTTP/1.1\r\n"));
  EXPECT_THAT(received, HasSubstr("Content-Length: 5\r\n"));
}

// Guards against an operator who waits for one frozen host after another.
TEST(BeastHttpClientTest, SilentServersDelayTheResultsByOneTimeout) {
  constexpr milliseconds timeout{300};
  BeastHttpClient client{timeout};
  SingleRequestServer first("\r\n\r\n", "");
  SingleRequestServer second("\r\n\r\n", "");
  SingleRequestServer third("\r\n\r\n", "");
  SingleRequestServer answering(
      "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue");
  const auto start = std::chrono::steady_clock::now();
  const auto results = client.SendAll({{first.address(), "GET", "/", ""},
                                       {second.address(), "GET", "/", ""},
                                       {third.address(), "GET", "/", ""},
                                       {answering.address(), "GET", "/", ""}});
  EXPECT_LT(std::chrono::steady_clock::now() - start, 3 * timeout);
  ASSERT_EQ(results.size(), 4U);
  EXPECT_FALSE(results[0] || results[1] || results[2]);
  ASSERT_TRUE(results[3]);
  EXPECT_EQ(results[3]->body, "true");
}

// The client must return nothing if the server is silent, if the response ends
// before its Content-Length, and for an address that is not IP:port.
TEST(BeastHttpClientTest, FailsOnTimeoutTruncatedResponseAndInvalidAddress) {
  BeastHttpClient client{milliseconds(50)};
  {
    SingleRequestServer silent_server("\r\n\r\n", "");
    EXPECT_FALSE(client.Send({silent_server.address(), "GET", "/", ""}));
  }
  {
    SingleRequestServer truncating_server(
        "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntrue");
    EXPECT_FALSE(client.Send({truncating_server.address(), "GET", "/", ""}));
  }
  EXPECT_FALSE(client.Send({"localhost:80", "GET", "/", ""}));
}

}  // namespace
}  // namespace berylreach::berylctl
