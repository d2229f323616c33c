// Tests of the client connection, mostly with servers that misbehave.
#include "berylreach/gateway/client_connection.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "berylreach/base/system_clock.h"
#include "loopback.h"

namespace berylreach::gateway {
namespace {

/// Records the events of a connection.
struct Recorder : ClientConnectionHandler {
  void OnResponse(ClientConnection&, HttpResponse answer,
                  bool can_be_reused) override {
    response = std::move(answer);
    reusable = can_be_reused;
  }
  void OnInterim(ClientConnection&, const HttpResponse& answer) override {
    interim.emplace_back(answer.fields.Find("X-Part"));
  }
  void OnExchangeFailed(ClientConnection&, ExchangeFailure why) override {
    failure = why;
  }
  void OnOpened(ClientConnection&) override { opened = true; }
  void OnIdleClosed(ClientConnection&, bool reset) override {
    idle_closed = true;
    idle_reset = reset;
  }

  std::optional<HttpResponse> response;
  std::vector<std::string> interim;
  std::optional<ExchangeFailure> failure;
  bool reusable = false;
  bool opened = false;
  bool idle_closed = false;
  bool idle_reset = false;
};

class ClientConnectionTest : public testing::Test {
 protected:
  ClientConnectionTest() : acceptor_(Listen(io_)) {}

  ~ClientConnectionTest() override {
    if (connection_) connection_->Close();
  }

  void Open(const std::string& bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n") {
    connection_ = std::make_shared<ClientConnection>(io_, recorder_, clock_);
    if (quota_) connection_->SetResponseLimits(answer_limit_, *quota_);
    connection_->Open(AddressOf(acceptor_), bytes, false,
                      clock_.Now() + kWaitLimit, clock_.Now() + kWaitLimit);
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (!error) peer_.emplace(std::move(socket));
        });
    ASSERT_TRUE(RunUntil(io_, [this] { return peer_.has_value(); }));
  }

  /// Sets the limits of the next connection.
  void Limit(std::size_t answer_limit, std::size_t quota) {
    answer_limit_ = answer_limit;
    quota_.emplace(quota);
  }

  void PeerSends(const std::string& bytes) {
    asio::write(*peer_, asio::buffer(bytes));
  }
  /// Makes the peer send `bytes` repeatedly until the connection is closed.
  void PeerSendsWithoutEnd(const std::string& bytes) {
    endless_bytes_ = bytes;
    asio::async_write(*peer_, asio::buffer(endless_bytes_),
                      [this](boost::system::error_code error, std::size_t) {
                        if (!error && peer_)
                          PeerSendsWithoutEnd(endless_bytes_);
                      });
  }
  void PeerCloses() {
    // Reads the request first, since closing a socket with unread bytes resets
    // the connection.
    ASSERT_TRUE(RunUntil(io_, [this] { return peer_->available() > 0; }));
    std::array<char, 4096> buffer{};
    peer_->read_some(asio::buffer(buffer));
    peer_.reset();
  }
  void PeerResets() {
    peer_->set_option(asio::socket_base::linger(true, 0));
    peer_.reset();
  }

  bool Answered() {
    return RunUntil(io_, [this] { return recorder_.response.has_value(); });
  }
  bool Failed() {
    return RunUntil(io_, [this] { return recorder_.failure.has_value(); });
  }

  base::SystemClock clock_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  Recorder recorder_;
  std::size_t answer_limit_ = 0;
  std::optional<base::ReceiveQuota> quota_;
  std::shared_ptr<ClientConnection> connection_;
  std::optional<tcp::socket> peer_;
  std::string endless_bytes_;
};

TEST_F(ClientConnectionTest, CompleteResponseLeavesTheConnectionIdle) {
  Open();
  PeerSends(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n"
      "Keep-Alive: timeout=10\r\n\r\nhi");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, "hi");
  EXPECT_EQ(recorder_.response->fields.Find("x-a"), "b");
  EXPECT_TRUE(recorder_.reusable);
  EXPECT_EQ(connection_->keep_alive(), std::chrono::seconds(10));
}

TEST_F(ClientConnectionTest, ReadsChunksInPieces) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nTransfer-Enc");
  io_.poll();
  PeerSends("oding: chunked\r\n\r\n3\r\nabc\r\n");
  io_.poll();
  PeerSends("2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, "abcde");
}

// Guards against bytes that follow a response being taken for part of the next
// response, when the connection is reused.
TEST_F(ClientConnectionTest, ExtraBytesMakeTheConnectionNotReusable) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, "hi");
  EXPECT_FALSE(recorder_.reusable);
}

// Guards against a duplicate of a response being taken for the response to the
// next request.
TEST_F(ClientConnectionTest, UnexpectedBytesCloseTheIdleConnection) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(Answered());
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho");
  EXPECT_TRUE(RunUntil(io_, [this] { return recorder_.idle_closed; }));
}

// Guards against missing that a leaf's process has ended, and against taking a
// connection that the leaf closes for its idle time for such a sign.
TEST_F(ClientConnectionTest, IdleConnectionTellsAResetFromAClose) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(Answered());
  PeerCloses();
  ASSERT_TRUE(RunUntil(io_, [this] { return recorder_.idle_closed; }));
  EXPECT_FALSE(recorder_.idle_reset);
  recorder_ = {};
  peer_.reset();
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(Answered());
  PeerResets();
  ASSERT_TRUE(RunUntil(io_, [this] { return recorder_.idle_closed; }));
  EXPECT_TRUE(recorder_.idle_reset);
}

TEST_F(ClientConnectionTest, ResponseWithoutLengthEndsWithTheConnection) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\nall of it");
  io_.poll();
  EXPECT_FALSE(recorder_.response);
  PeerCloses();
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, "all of it");
  EXPECT_FALSE(recorder_.reusable);
}

// Guards against a truncated response being taken for a complete one: without a
// length, the end of the connection is the end of the body, but a reset is not.
TEST_F(ClientConnectionTest, ResetResponseWithoutLengthIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\nonly a part");
  RunUntil(io_, [n = 0]() mutable { return ++n > 5; });
  PeerResets();
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

// Guards against passing on a body that is shorter than its Content-Length.
TEST_F(ClientConnectionTest, TruncatedResponseIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi");
  PeerCloses();
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

// Guards against a response that is taken for complete although the server
// stopped in the middle of its head or body and closed the connection.
TEST_F(ClientConnectionTest, ResponseCutAnywhereIsBroken) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Sig: abc\r\n";
  const std::string with_length = head + "Content-Length: 4\r\n\r\nbody";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::string until_close = head + "\r\n";
  for (const std::string& response : {with_length, chunked, until_close}) {
    for (std::size_t size = 0; size < response.size(); ++size) {
      recorder_ = {};
      peer_.reset();
      Open();
      PeerSends(response.substr(0, size));
      PeerCloses();
      ASSERT_TRUE(Failed()) << response.substr(0, size);
      EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
      EXPECT_FALSE(recorder_.response) << response.substr(0, size);
    }
  }
}

TEST_F(ClientConnectionTest, MalformedResponseIsBroken) {
  Open();
  PeerSends("garbage garbage garbage\r\n\r\n");
  ASSERT_TRUE(Failed());
}

TEST_F(ClientConnectionTest, InterimResponsesAreSkipped) {
  Open();
  PeerSends("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->status, 204);
}

// Guards against interim responses being lost or taken for the final response,
// when several arrive in one read.
TEST_F(ClientConnectionTest, InterimResponsesAreReportedInOrder) {
  Open();
  PeerSends(
      "HTTP/1.1 103 Early Hints\r\nX-Part: a\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nX-Part: b\r\n\r\nHTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(RunUntil(io_, [this] { return recorder_.interim.size() == 2; }));
  EXPECT_FALSE(recorder_.response);
  PeerSends("Content-Length: 2\r\n\r\nok");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.interim, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(recorder_.response->body, "ok");
  EXPECT_TRUE(recorder_.reusable);
}

// Guards against a server that fills the memory with chunks, which it sends
// until the connection is closed, and against quota that is not returned after
// the response has failed.
TEST_F(ClientConnectionTest, BodyWithoutEndIsBrokenAndReturnsItsQuota) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  PeerSendsWithoutEnd("4000\r\n" + std::string(0x4000, 'x') + "\r\n");
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
  EXPECT_EQ(quota_->available(), std::size_t{4} << 20);
}

// Guards against a server that fills the memory with a body of unstated length,
// which it sends until the connection is closed.
TEST_F(ClientConnectionTest, BodyWithoutLengthAndEndIsBroken) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n");
  PeerSendsWithoutEnd(std::string(0x4000, 'x'));
  ASSERT_TRUE(Failed());
}

// Guards against a server that sends header fields until the connection is
// closed.
TEST_F(ClientConnectionTest, HeaderWithoutEndIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n");
  PeerSendsWithoutEnd("X-Field: " + std::string(500, 'x') + "\r\n");
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

// Guards against a server that sends a status line until the connection is
// closed.
TEST_F(ClientConnectionTest, StatusLineWithoutEndIsBroken) {
  Open();
  PeerSendsWithoutEnd("HTTP/1.1 200 ");
  ASSERT_TRUE(Failed());
}

// Guards against a server that sends interim responses until the connection is
// closed.
TEST_F(ClientConnectionTest, InterimResponsesWithoutEndAreBroken) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  std::string responses;
  for (int i = 0; i < 2000; ++i) responses += "HTTP/1.1 100 Continue\r\n\r\n";
  PeerSendsWithoutEnd(responses);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

// Guards against one peer keeping the only thread busy, so that timers and
// other connections do not run.
TEST_F(ClientConnectionTest, PeerThatSendsWithoutEndDoesNotBlockTimers) {
  Limit(std::size_t{1} << 30, std::size_t{1} << 30);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n");
  PeerSendsWithoutEnd(std::string(0x10000, 'x'));
  bool fired = false;
  asio::steady_timer timer(io_, milliseconds(50));
  timer.async_wait([&](boost::system::error_code) { fired = true; });
  EXPECT_TRUE(RunUntil(io_, [&] { return fired; }));
  EXPECT_FALSE(recorder_.failure);
}

// Guards against a host that runs out of memory because many responses are
// incomplete at the same time, each of them within its own limit.
TEST_F(ClientConnectionTest, IncompleteResponsesStayWithinTheQuota) {
  Limit(std::size_t{1} << 20, std::size_t{1} << 16);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n");
  PeerSendsWithoutEnd(std::string(0x4000, 'x'));
  ASSERT_TRUE(Failed());
  EXPECT_EQ(quota_->available(), std::size_t{1} << 16);
}

// Guards against a response of a sound leaf that is lost because others, which
// never end, have used up the quota (issue 50).
TEST_F(ClientConnectionTest, LargestIncompleteResponseGivesWay) {
  constexpr std::size_t quota = std::size_t{128} * 1024;
  Limit(quota, quota);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n" +
            std::string(std::size_t{100} * 1024, 'x'));
  ASSERT_TRUE(RunUntil(
      io_, [this] { return quota_->available() < std::size_t{30} * 1024; }));
  const auto endless = std::exchange(connection_, nullptr);
  const auto endless_peer = std::exchange(peer_, std::nullopt);
  const std::string body(std::size_t{60} * 1024, 'y');
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, body);
  EXPECT_TRUE(endless->closed());
  EXPECT_EQ(recorder_.failure, ExchangeFailure::kBroken);
  EXPECT_EQ(quota_->available(), quota);
}

// Guards against sending the rest of a long request body over a connection that
// already carries another request.
TEST_F(ClientConnectionTest, ResponseBeforeTheBodyIsWrittenEndsTheConnection) {
  // More than the buffers of both sockets hold.
  std::string body;
  body.resize(std::size_t{32} * 1024 * 1024, 'x');
  Open("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
       "\r\n\r\n" + body);
  PeerSends("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->status, 413);
  EXPECT_FALSE(recorder_.reusable);
}

TEST_F(ClientConnectionTest, OpensWithoutARequest) {
  Open("");
  ASSERT_TRUE(RunUntil(io_, [this] { return recorder_.opened; }));
  EXPECT_FALSE(connection_->busy());
  connection_->Send("GET / HTTP/1.1\r\n\r\n", false, clock_.Now() + kWaitLimit);
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  EXPECT_TRUE(Answered());
}

TEST_F(ClientConnectionTest, RefusedConnectionIsReportedAsRefused) {
  acceptor_.close();
  connection_ = std::make_shared<ClientConnection>(io_, recorder_, clock_);
  connection_->Open(FreeAddress(), "GET / HTTP/1.1\r\n\r\n", false,
                    clock_.Now() + kWaitLimit, clock_.Now() + kWaitLimit);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kRefused);
}

TEST_F(ClientConnectionTest, MalformedAddressIsReportedAsNotSent) {
  connection_ = std::make_shared<ClientConnection>(io_, recorder_, clock_);
  connection_->Open("nowhere", "GET / HTTP/1.1\r\n\r\n", false,
                    clock_.Now() + kWaitLimit, clock_.Now() + kWaitLimit);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kNotSent);
}

TEST_F(ClientConnectionTest, UnresponsiveServerTimesOut) {
  Open();
  ASSERT_TRUE(RunUntil(io_, [this] { return peer_->available() > 0; }));
  connection_->CheckTimeouts(clock_.Now() + 2 * kWaitLimit);
  ASSERT_TRUE(recorder_.failure);
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kTimedOut);
}

}  // namespace
}  // namespace berylreach::gateway
