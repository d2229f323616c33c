// Tests of the connection pools: reuse, withdrawal, lost connections and checks
// of leaves.
#include "berylreach/gateway/leaf_connections.h"

#include <gtest/gtest.h>

#include <optional>

#include "berylreach/base/system_clock.h"
#include "loopback.h"
#include "offset_clock.h"

namespace berylreach::gateway {
namespace {

class LeafConnectionsTest : public testing::Test {
 protected:
  LeafConnectionsTest()
      : server_(io_, server_clock_,
                [this](ServerConnection& connection, HttpRequest) {
                  ++requests_;
                  if (!responds_) return;
                  connection.Respond("HTTP/1.1 200 OK\r\n" + fields_ +
                                         "Content-Length: 0\r\n\r\n",
                                     true);
                }),
        leaf_({.id = "l", .service = "s", .address = server_.address()},
              forward::Distance::kSameZone, "r", clock_.Now()),
        connections_(
            io_, clock_, "X-Id",
            [this](forward::CallId id, LeafConnections::Result result) {
              done_.emplace_back(id, std::move(result));
            }) {}

  /// Starts call `id` with the request id "r<id>".
  void Start(forward::CallId id, std::size_t max_connections = 2) {
    connections_.Start(leaf_, {.id = id,
                               .request_id = "r" + std::to_string(id),
                               .bytes = "GET / HTTP/1.1\r\n\r\n",
                               .max_connections = max_connections,
                               .deadline = clock_.Now() + kWaitLimit});
  }

  /// Runs the event loop until `count` calls have a result; returns false after
  /// kWaitLimit.
  bool Done(std::size_t count) {
    return RunUntil(io_, [this, count] { return done_.size() >= count; });
  }

  OffsetClock clock_;
  base::SystemClock server_clock_;
  asio::io_context io_;
  /// Whether the leaf responds to its requests.
  bool responds_ = true;
  /// Number of requests that the leaf has received.
  std::size_t requests_ = 0;
  /// Header lines of the leaf's responses.
  std::string fields_;
  TestServer server_;
  /// The record of `server_`, which is another host rather than a leaf in tests
  /// that call KeepConnected.
  forward::LeafRecord leaf_;
  /// Results in the order of their arrival.
  std::vector<std::pair<forward::CallId, LeafConnections::Result>> done_;
  LeafConnections connections_;
};

TEST_F(LeafConnectionsTest, ReusesAnIdleConnection) {
  Start(1);
  ASSERT_TRUE(Done(1));
  Start(2);
  ASSERT_TRUE(Done(2));
  EXPECT_EQ(server_.accepted_connections(), 1U);
}

TEST_F(LeafConnectionsTest, WarmConnectionCarriesTheNextCall) {
  connections_.Warm(leaf_);
  connections_.Warm(leaf_);
  ASSERT_TRUE(
      RunUntil(io_, [this] { return server_.accepted_connections() == 1; }));
  // The server may accept the connection before the client sees it open.
  io_.poll();
  Start(1);
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(server_.accepted_connections(), 1U);
}

// Guards against closing the connection to a host in another region between
// messages that are a few seconds apart, which would cost a round trip for
// almost every message.
TEST_F(LeafConnectionsTest, ConnectionToHostStaysOpenWhileIdle) {
  connections_.KeepConnected(leaf_);
  ASSERT_TRUE(RunUntil(io_, [this] { return connections_.HasIdle("l"); }));
  // A connection to a leaf would be closed after this time.
  clock_.Advance(std::chrono::seconds(20));
  connections_.CheckTimeouts();
  EXPECT_TRUE(connections_.HasIdle("l"));
  Start(1);
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(server_.accepted_connections(), 1U);
}

// Guards against shards being delegated to a host other than the usual one,
// which knows their leaves, only because the connection to the usual one is in
// use.
TEST_F(LeafConnectionsTest, HostIsReachableWhileItsConnectionIsInUse) {
  EXPECT_FALSE(connections_.IsReachable("l"));
  connections_.KeepConnected(leaf_);
  ASSERT_TRUE(RunUntil(io_, [this] { return connections_.HasIdle("l"); }));
  EXPECT_TRUE(connections_.IsReachable("l"));
  responds_ = false;
  Start(1);
  EXPECT_FALSE(connections_.HasIdle("l"));
  EXPECT_TRUE(connections_.IsReachable("l"));
  // Callers do this when the host may be unresponsive.
  connections_.CloseIdleOf("l");
  EXPECT_FALSE(connections_.IsReachable("l"));
}

TEST_F(LeafConnectionsTest, IdleConnectionToLeafIsClosedAfterSeconds) {
  Start(1);
  ASSERT_TRUE(Done(1));
  clock_.Advance(std::chrono::seconds(20));
  connections_.CheckTimeouts();
  EXPECT_FALSE(connections_.HasIdle("l"));
}

// Guards against a leaf that runs a call after the caller was told that nothing
// has run.
TEST_F(LeafConnectionsTest, WithdrawnCallIsNotSentAndItsConnectionStaysOpen) {
  Start(1);
  EXPECT_TRUE(connections_.Withdraw(1));
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(std::get<forward::CallFailure>(done_[0].second),
            forward::CallFailure::kWithdrawn);
  EXPECT_EQ(requests_, 0U);
  Start(2);
  ASSERT_TRUE(Done(2));
  EXPECT_EQ(server_.accepted_connections(), 1U);
  EXPECT_EQ(requests_, 1U);
}

// Guards against reporting a call as not run although the leaf may run it.
TEST_F(LeafConnectionsTest, CallThatWasSentCannotBeWithdrawn) {
  responds_ = false;
  Start(1);
  ASSERT_TRUE(RunUntil(io_, [this] { return requests_ == 1; }));
  EXPECT_FALSE(connections_.Withdraw(1));
}

// Guards against a late duplicate of a response being given to the next caller,
// and against every later response on the connection then being off by one.
TEST_F(LeafConnectionsTest, ResponseToAnotherRequestClosesTheConnection) {
  fields_ = "X-Id: r1\r\n";
  Start(1);
  ASSERT_TRUE(Done(1));
  Start(2);
  ASSERT_TRUE(Done(2));
  ASSERT_TRUE(std::holds_alternative<forward::CallFailure>(done_[1].second));
  EXPECT_EQ(std::get<forward::CallFailure>(done_[1].second),
            forward::CallFailure::kMayHaveRun);
  EXPECT_TRUE(
      RunUntil(io_, [this] { return server_.open_connections() == 0; }));
  fields_ = "X-Id: r3\r\n";
  Start(3);
  ASSERT_TRUE(Done(3));
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(done_[2].second));
}

// Guards against a duplicate without an id from a peer that otherwise echoes
// ids.
TEST_F(LeafConnectionsTest, ResponseWithoutIdIsRejectedOncePeerEchoesIds) {
  Start(1);
  ASSERT_TRUE(Done(1));
  fields_ = "X-Id: r2\r\n";
  Start(2);
  ASSERT_TRUE(Done(2));
  fields_.clear();
  Start(3);
  ASSERT_TRUE(Done(3));
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(done_[0].second));
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(done_[1].second));
  EXPECT_TRUE(std::holds_alternative<forward::CallFailure>(done_[2].second));
}

// Guards against opening more connections to a leaf than max_connections, this
// host's share of the leaf's connections.
TEST_F(LeafConnectionsTest, CallBeyondTheShareIsNotSent) {
  responds_ = false;
  Start(1, 1);
  Start(2, 1);
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(done_[0].first, 2U);
  EXPECT_EQ(std::get<forward::CallFailure>(done_[0].second),
            forward::CallFailure::kNotSent);
}

// Guards against a lost call counting as not run and being repeated.
TEST_F(LeafConnectionsTest, CallOnLostConnectionMayHaveRun) {
  responds_ = false;
  Start(1);
  ASSERT_TRUE(
      RunUntil(io_, [this] { return server_.accepted_connections() == 1; }));
  // Runs some more events, so that the request is sent before the connection is
  // lost.
  RunUntil(io_, [n = 0]() mutable { return ++n > 5; });
  server_.CloseConnections();
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(std::get<forward::CallFailure>(done_[0].second),
            forward::CallFailure::kMayHaveRun);
}

TEST_F(LeafConnectionsTest, CancelledCallIsNotReported) {
  responds_ = false;
  Start(1);
  ASSERT_TRUE(
      RunUntil(io_, [this] { return server_.open_connections() == 1; }));
  connections_.Cancel(1);
  EXPECT_TRUE(
      RunUntil(io_, [this] { return server_.open_connections() == 0; }));
  EXPECT_TRUE(done_.empty());
}

TEST_F(LeafConnectionsTest, IdleConnectionsToRemovedLeavesAreClosed) {
  Start(1);
  ASSERT_TRUE(Done(1));
  connections_.CloseIdle([](const std::string&) { return false; });
  EXPECT_TRUE(
      RunUntil(io_, [this] { return server_.open_connections() == 0; }));
}

// Guards against blaming a call for the crash of a leaf that had crashed before
// the call was sent, since the end of an idle connection is not noticed at
// once.
TEST_F(LeafConnectionsTest, CallThatNeedsANewConnectionUsesNoIdleOne) {
  Start(1);
  ASSERT_TRUE(Done(1));
  ASSERT_TRUE(connections_.HasIdle("l"));
  server_.Stop();
  connections_.Start(leaf_, {.id = 2,
                             .request_id = "r2",
                             .bytes = "GET / HTTP/1.1\r\n\r\n",
                             .needs_new_connection = true,
                             .max_connections = 2,
                             .deadline = clock_.Now() + kWaitLimit});
  ASSERT_TRUE(Done(2));
  ASSERT_TRUE(std::holds_alternative<forward::CallFailure>(done_[1].second));
  EXPECT_EQ(std::get<forward::CallFailure>(done_[1].second),
            forward::CallFailure::kNotSent);
}

// Guards against taking a leaf for crashed because a connection to it was reset
// or a response was lost.
TEST_F(LeafConnectionsTest, TrialsTellARefusedConnectionFromAnOpenedOne) {
  using ConnectResult = LeafConnections::ConnectResult;
  std::vector<ConnectResult> results;
  const auto try_connect = [&] {
    connections_.TryConnect(
        leaf_, [&results](ConnectResult result) { results.push_back(result); });
  };
  try_connect();
  try_connect();
  ASSERT_TRUE(RunUntil(io_, [&] { return results.size() == 2; }));
  EXPECT_EQ(results, (std::vector<ConnectResult>{ConnectResult::kOpened,
                                                 ConnectResult::kOpened}));
  EXPECT_EQ(connections_.counters().opened, 1U) << "trials share a connection";
  EXPECT_TRUE(connections_.HasIdle("l"))
      << "the connection of the trials serves the next call";
  server_.Stop();
  try_connect();
  ASSERT_TRUE(RunUntil(io_, [&] { return results.size() == 3; }));
  EXPECT_EQ(results[2], ConnectResult::kRefused);
}

}  // namespace
}  // namespace berylreach::gateway
