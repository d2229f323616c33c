// Guards against requests that are lost, answered out of order or answered on
// the wrong connection, and against malformed or oversize input that reaches
// the handler.
#include "berylreach/transport/http_server.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <ctime>
#include <string>
#include <thread>

#include "collector.h"
#include "test_socket.h"

namespace berylreach::transport {
namespace {

class HttpServerTest : public testing::Test, public HttpHandler {
 protected:
  HttpServerTest() { Open({}); }

  void Open(HttpServerOptions options) {
    server_.reset();
    options.addresses = {"127.0.0.1:0"};
    server_ = std::move(HttpServer::Open(thread_, options, *this).value());
  }

  void OnRequest(HttpRequest request) override {
    requests_.Add(std::move(request));
  }
  void OnClientDisconnected(HttpToken token) override {
    disconnected_.Add(token);
  }

  TestSocket Connect() const {
    return TestSocket::Connect(server_->addresses()[0]);
  }

  void Answer(const HttpRequest& request, const std::string& body) {
    server_->Respond(request.token, {200, "text/plain", body, {}});
  }

  IoThread thread_;
  Collector<HttpRequest> requests_;
  Collector<HttpToken> disconnected_;
  std::unique_ptr<HttpServer> server_;
};

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  TestSocket client = Connect();
  client.Write(Post("/a", "1") + Post("/b", "2"));
  const auto requests = requests_.Wait(2);
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[1].body, "2");
  Answer(requests[1], "second");
  Answer(requests[0], "first");
  EXPECT_TRUE(client.ReadHttp().ends_with("first"));
  EXPECT_TRUE(client.ReadHttp().ends_with("second"));
}

TEST_F(HttpServerTest, RefusesMalformedInputAndCloses) {
  TestSocket client = Connect();
  client.Write("this is not HTTP\r\n\r\n");
  const std::string answer = client.ReadAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
  EXPECT_NE(answer.find(R"("code":"bad_request")"), std::string::npos);
  EXPECT_NE(answer.find(R"("ran":"not_run")"), std::string::npos);
  EXPECT_EQ(requests_.size(), 0U);
}

TEST_F(HttpServerTest, RefusesOversizeBody) {
  TestSocket client = Connect();
  client.Write("POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
  EXPECT_TRUE(client.ReadAll().starts_with("HTTP/1.1 413 "));
}

TEST_F(HttpServerTest, AcceptsBodyOfExactlyTheLimit) {
  TestSocket client = Connect();
  client.Write(Post("/", std::string(std::size_t{1024} * 1024, 'x')));
  const auto requests = requests_.Wait(1);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].body.size(), 1024U * 1024U);
}

TEST_F(HttpServerTest, RefusesOversizeHeader) {
  TestSocket client = Connect();
  client.Write("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
  EXPECT_TRUE(client.ReadAll().starts_with("HTTP/1.1 431 "));
}

TEST_F(HttpServerTest, RefusesConnectionsAboveTheMaximum) {
  HttpServerOptions options;
  options.max_connections = 1;
  Open(options);
  TestSocket first = Connect();
  first.Write(Post("/", "1"));
  ASSERT_EQ(requests_.Wait(1).size(), 1U);
  TestSocket second = Connect();
  EXPECT_TRUE(second.ReadAll().starts_with("HTTP/1.1 503 "));
}

TEST_F(HttpServerTest, ClosesConnectionsThatStayIdle) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::milliseconds(20);
  Open(options);
  TestSocket client = Connect();
  client.Write("GET / HT");
  EXPECT_EQ(client.ReadAll(), "");
  EXPECT_TRUE(client.peer_closed());
}

TEST_F(HttpServerTest, ReportsAClientThatDisconnects) {
  TestSocket client = Connect();
  client.Write(Post("/", "1"));
  const auto requests = requests_.Wait(1);
  ASSERT_EQ(requests.size(), 1U);
  client.Close();
  const auto disconnected = disconnected_.Wait(1);
  ASSERT_EQ(disconnected.size(), 1U);
  EXPECT_EQ(disconnected[0], requests[0].token);
  EXPECT_EQ(server_->open_requests(), 0U);
}

TEST_F(HttpServerTest, ShutdownFinishesOpenRequests) {
  TestSocket busy = Connect();
  TestSocket idle = Connect();
  busy.Write(Post("/", "1"));
  const auto requests = requests_.Wait(1);
  ASSERT_EQ(requests.size(), 1U);
  server_->StopAccepting();
  server_->CloseIdle();
  EXPECT_EQ(idle.ReadAll(), "");
  EXPECT_TRUE(idle.peer_closed());
  EXPECT_EQ(server_->open_requests(), 1U);
  EXPECT_FALSE(Connect().is_open());
  Answer(requests[0], "done");
  const std::string answer = busy.ReadAll();
  EXPECT_TRUE(answer.ends_with("done"));
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(HttpServerTest, ReportsAnAddressThatIsInUse) {
  HttpServerOptions options;
  options.addresses = server_->addresses();
  const auto second = HttpServer::Open(thread_, options, *this);
  ASSERT_TRUE(second.has_error());
  EXPECT_EQ(second.error().address, server_->addresses()[0]);
}

// Guards against an accept loop that uses a whole core while file descriptors
// are exhausted, because the waiting connection makes each accept fail at once.
TEST_F(HttpServerTest, PausesAfterAFailedAccept) {
  constexpr double max_cpu_share = 0.3;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit lowered = before;
  // The client takes the last descriptor, so that the server's accept fails.
  const int next = dup(0);
  close(next);
  lowered.rlim_cur = static_cast<rlim_t>(next) + 1;
  setrlimit(RLIMIT_NOFILE, &lowered);
  TestSocket client = Connect();
  const std::clock_t begin = std::clock();
  constexpr std::chrono::milliseconds span{300};
  std::this_thread::sleep_for(span);
  const double cpu_seconds = static_cast<double>(std::clock() - begin) /
                             static_cast<double>(CLOCKS_PER_SEC);
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(cpu_seconds,
            max_cpu_share * std::chrono::duration<double>(span).count());
  client.Write(Post("/a", "1"));
  const auto requests = requests_.Wait(1);
  ASSERT_EQ(requests.size(), 1U);
}

}  // namespace
}  // namespace berylreach::transport
