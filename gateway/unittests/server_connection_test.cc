// Tests of the server connection with well-behaved and misbehaving clients.
#include "berylreach/gateway/server_connection.h"

#include <gtest/gtest.h>

#include "berylreach/base/system_clock.h"
#include "loopback.h"

namespace berylreach::gateway {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

constexpr char kInterim[] = "HTTP/1.1 103 Early Hints\r\nX-Part: 1\r\n\r\n";

class ServerConnectionTest : public testing::Test {
 protected:
  ServerConnectionTest()
      : server_(io_, clock_,
                [this](ServerConnection& connection, HttpRequest request) {
                  requests_.push_back(std::move(request));
                  if (interim_) connection.RespondInterim(kInterim);
                  if (responds_) connection.Respond(kOk, true);
                }),
        client_(io_, server_.address()) {}

  bool ReceivesRequests(std::size_t count) {
    return RunUntil(io_, [this, count] { return requests_.size() >= count; });
  }

  base::SystemClock clock_;
  asio::io_context io_;
  std::vector<HttpRequest> requests_;
  bool responds_ = true;
  bool interim_ = false;
  TestServer server_;
  RawClient client_;
};

TEST_F(ServerConnectionTest, ReadsBodyWithLengthAndInChunks) {
  client_.Send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  ASSERT_TRUE(ReceivesRequests(1));
  client_.Send(
      "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
  ASSERT_TRUE(ReceivesRequests(2));
  EXPECT_EQ(requests_[0].body, "abc");
  EXPECT_EQ(requests_[1].body, "def");
}

TEST_F(ServerConnectionTest, DeliversPipelinedRequestsInOrder) {
  client_.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(ReceivesRequests(2));
  EXPECT_EQ(requests_[0].target, "/1");
  EXPECT_EQ(requests_[1].target, "/2");
}

// Guards against responses to pipelined requests in the wrong order.
TEST_F(ServerConnectionTest, DeliversTheNextRequestOnlyAfterTheResponse) {
  responds_ = false;
  client_.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(ReceivesRequests(1));
  io_.poll();
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against an interim response being taken for the final one, after which
// the next request would be delivered too early.
TEST_F(ServerConnectionTest, InterimResponseKeepsTheRequestWaiting) {
  interim_ = true;
  responds_ = false;
  client_.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(client_.Expect("X-Part: 1"));
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(ServerConnectionTest, FinalResponseFollowsInterimResponse) {
  interim_ = true;
  client_.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(ReceivesRequests(2));
  const std::string one = std::string(kInterim) + kOk;
  EXPECT_TRUE(client_.Expect(one + one));
}

// Guards against the handler being notified of a lost connection, and erasing
// its request, while it is still sending an interim response for it.
TEST_F(ServerConnectionTest, LostConnectionIsNotReportedWithinRespondInterim) {
  auto acceptor = Listen(io_);
  tcp::socket peer(io_);
  peer.connect(acceptor.local_endpoint());
  struct Recorder : ServerConnectionHandler {
    void OnRequest(ServerConnection&, HttpRequest) override {
      requested = true;
    }
    void OnClosed(ServerConnection&) override { closed = true; }
    bool requested = false;
    bool closed = false;
  } recorder;
  auto connection = std::make_shared<ServerConnection>(
      acceptor.accept(), recorder, clock_, forward::CallerLimits{});
  connection->Start();
  asio::write(peer, asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\n")));
  ASSERT_TRUE(RunUntil(io_, [&] { return recorder.requested; }));
  peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  connection->RespondInterim(kInterim);
  EXPECT_FALSE(recorder.closed);
  EXPECT_TRUE(RunUntil(io_, [&] { return recorder.closed; }));
}

TEST_F(ServerConnectionTest, MalformedRequestGets400) {
  client_.Send("not a request\r\n\r\n");
  EXPECT_TRUE(client_.Expect("HTTP/1.1 400"));
  EXPECT_TRUE(client_.ExpectEnd());
  EXPECT_TRUE(requests_.empty());
}

// Guards against requests of unlimited size that fill the memory.
TEST_F(ServerConnectionTest, LargeHeaderGets431AndLargeBody413) {
  client_.Send("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
  EXPECT_TRUE(client_.Expect("HTTP/1.1 431"));
  RawClient other(io_, server_.address());
  other.Send("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
  EXPECT_TRUE(other.Expect("HTTP/1.1 413"));
  EXPECT_TRUE(requests_.empty());
}

// Guards against request smuggling: with a length and chunks, two servers could
// disagree about where the first request ends and the second begins.
TEST_F(ServerConnectionTest, LengthWithChunksIsRejected) {
  client_.Send(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n");
  EXPECT_TRUE(client_.Expect("HTTP/1.1 400"));
  EXPECT_TRUE(requests_.empty());
}

TEST_F(ServerConnectionTest, ClosesAfterTheResponseIfRequested) {
  client_.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(client_.Expect("HTTP/1.1 200"));
  EXPECT_TRUE(client_.ExpectEnd());
}

// Guards against requests that run on although their peer has disconnected.
TEST_F(ServerConnectionTest, ReportsPeerThatDisconnectsBeforeTheResponse) {
  responds_ = false;
  client_.Send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(ReceivesRequests(1));
  EXPECT_EQ(server_.open_connections(), 1U);
  client_.Close();
  EXPECT_TRUE(
      RunUntil(io_, [this] { return server_.open_connections() == 0; }));
}

}  // namespace
}  // namespace berylreach::gateway
