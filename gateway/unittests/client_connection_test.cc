// Exchanges with servers that misbehave.
#include "berylreach/gateway/client_connection.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "berylreach/base/system_clock.h"
#include "loopback.h"

namespace berylreach::gateway {
namespace {

/// Keeps what happened on a connection.
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
  void OnIdleClosed(ClientConnection&) override { idle_closed = true; }

  std::optional<HttpResponse> response;
  std::vector<std::string> interim;
  std::optional<ExchangeFailure> failure;
  bool reusable = false;
  bool opened = false;
  bool idle_closed = false;
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

  /// Limits of the next connection.
  void Limit(std::size_t answer_limit, std::size_t quota) {
    answer_limit_ = answer_limit;
    quota_.emplace(quota);
  }

  void PeerSends(const std::string& bytes) {
    asio::write(*peer_, asio::buffer(bytes));
  }
  /// The peer repeats `bytes` until its connection is closed.
  void PeerSendsWithoutEnd(const std::string& bytes) {
    endless_ = bytes;
    asio::async_write(*peer_, asio::buffer(endless_),
                      [this](boost::system::error_code error, std::size_t) {
                        if (!error && peer_) PeerSendsWithoutEnd(endless_);
                      });
  }
  void PeerCloses() {
    // Reads the request first, so that the close is not a reset.
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
  std::optional<ReceiveQuota> quota_;
  std::shared_ptr<ClientConnection> connection_;
  std::optional<tcp::socket> peer_;
  std::string endless_;
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

// Guards against bytes of an earlier response that are taken for a later one.
TEST_F(ClientConnectionTest, ExtraBytesMakeTheConnectionUseless) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->body, "hi");
  EXPECT_FALSE(recorder_.reusable);
}

TEST_F(ClientConnectionTest, LateBytesCloseTheIdleConnection) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(Answered());
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho");
  EXPECT_TRUE(RunUntil(io_, [this] { return recorder_.idle_closed; }));
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

// Guards against a truncated response that passes for a whole one.
TEST_F(ClientConnectionTest, ResetResponseWithoutLengthIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\nonly a part");
  RunUntil(io_, [n = 0]() mutable { return ++n > 5; });
  PeerResets();
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

TEST_F(ClientConnectionTest, TruncatedResponseIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi");
  PeerCloses();
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

TEST_F(ClientConnectionTest, BytesThatAreNoResponseAreBroken) {
  Open();
  PeerSends("garbage garbage garbage\r\n\r\n");
  ASSERT_TRUE(Failed());
}

TEST_F(ClientConnectionTest, InterimResponsesArePassedOver) {
  Open();
  PeerSends("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->status, 204);
}

// Guards against the rest of a long body on a connection that carries another
// request already.
TEST_F(ClientConnectionTest, InterimResponsesAreReportedInTurn) {
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

// The servers of these tests send until the connection is closed.

TEST_F(ClientConnectionTest, BodyWithoutEndIsBrokenAndGivesItsMemoryBack) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  PeerSendsWithoutEnd("4000\r\n" + std::string(0x4000, 'x') + "\r\n");
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
  EXPECT_EQ(quota_->available(), std::size_t{4} << 20);
}

TEST_F(ClientConnectionTest, BodyWithoutLengthAndEndIsBroken) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n");
  PeerSendsWithoutEnd(std::string(0x4000, 'x'));
  ASSERT_TRUE(Failed());
}

TEST_F(ClientConnectionTest, HeadWithoutEndIsBroken) {
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n");
  PeerSendsWithoutEnd("X-Field: " + std::string(500, 'x') + "\r\n");
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

TEST_F(ClientConnectionTest, StatusLineWithoutEndIsBroken) {
  Open();
  PeerSendsWithoutEnd("HTTP/1.1 200 ");
  ASSERT_TRUE(Failed());
}

TEST_F(ClientConnectionTest, InterimResponsesWithoutEndAreBroken) {
  Limit(std::size_t{1} << 20, std::size_t{4} << 20);
  Open();
  std::string many;
  for (int i = 0; i < 2000; ++i) many += "HTTP/1.1 100 Continue\r\n\r\n";
  PeerSendsWithoutEnd(many);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kBroken);
}

// Guards against one peer that keeps the only thread from its timers.
TEST_F(ClientConnectionTest, PeerThatSendsOnAndOnLeavesTurnsToOthers) {
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

// Guards against a host that runs out of memory over many answers, each of
// which is within its limit.
TEST_F(ClientConnectionTest, AnswersTogetherStayWithinTheQuota) {
  Limit(std::size_t{1} << 20, std::size_t{1} << 16);
  Open();
  PeerSends("HTTP/1.1 200 OK\r\n\r\n");
  PeerSendsWithoutEnd(std::string(0x4000, 'x'));
  ASSERT_TRUE(Failed());
  EXPECT_EQ(quota_->available(), std::size_t{1} << 16);
}

TEST_F(ClientConnectionTest, ResponseBeforeTheBodyIsWrittenEndsTheConnection) {
  // More than both sockets buffer.
  std::string body;
  body.resize(std::size_t{32} * 1024 * 1024, 'x');
  Open("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
       "\r\n\r\n" + body);
  PeerSends("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(Answered());
  EXPECT_EQ(recorder_.response->status, 413);
  EXPECT_FALSE(recorder_.reusable);
}

TEST_F(ClientConnectionTest, OpensAheadOfARequest) {
  Open("");
  ASSERT_TRUE(RunUntil(io_, [this] { return recorder_.opened; }));
  EXPECT_FALSE(connection_->busy());
  connection_->Send("GET / HTTP/1.1\r\n\r\n", false, clock_.Now() + kWaitLimit);
  PeerSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  EXPECT_TRUE(Answered());
}

TEST_F(ClientConnectionTest, RefusedConnectionHasNotSent) {
  acceptor_.close();
  connection_ = std::make_shared<ClientConnection>(io_, recorder_, clock_);
  connection_->Open(FreeAddress(io_), "GET / HTTP/1.1\r\n\r\n", false,
                    clock_.Now() + kWaitLimit, clock_.Now() + kWaitLimit);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kRefused);
}

TEST_F(ClientConnectionTest, MalformedAddressHasNotSent) {
  connection_ = std::make_shared<ClientConnection>(io_, recorder_, clock_);
  connection_->Open("nowhere", "GET / HTTP/1.1\r\n\r\n", false,
                    clock_.Now() + kWaitLimit, clock_.Now() + kWaitLimit);
  ASSERT_TRUE(Failed());
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kNotSent);
}

TEST_F(ClientConnectionTest, SilentServerTimesOut) {
  Open();
  ASSERT_TRUE(RunUntil(io_, [this] { return peer_->available() > 0; }));
  connection_->CheckTimeouts(clock_.Now() + 2 * kWaitLimit);
  ASSERT_TRUE(recorder_.failure);
  EXPECT_EQ(*recorder_.failure, ExchangeFailure::kTimedOut);
}

}  // namespace
}  // namespace berylreach::gateway
