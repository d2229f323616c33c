// Connections that are kept for further calls.
#include "berylreach/gateway/leaf_connections.h"

#include <gtest/gtest.h>

#include <optional>

#include "berylreach/base/system_clock.h"
#include "loopback.h"

namespace berylreach::gateway {
namespace {

class LeafConnectionsTest : public testing::Test {
 protected:
  LeafConnectionsTest()
      : server_(io_, clock_,
                [this](ServerConnection& connection, HttpRequest) {
                  if (answers_)
                    connection.Respond(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
                }),
        leaf_({.id = "l", .service = "s", .address = server_.address()},
              forward::Distance::kSameZone, "r", clock_.Now()),
        connections_(
            io_, clock_,
            [this](forward::CallId id, LeafConnections::Result result) {
              done_.emplace_back(id, std::move(result));
            }) {}

  void Start(forward::CallId id, std::size_t connections = 2) {
    connections_.Start(leaf_, {.id = id,
                               .bytes = "GET / HTTP/1.1\r\n\r\n",
                               .connections = connections,
                               .deadline = clock_.Now() + kWaitLimit});
  }

  bool Done(std::size_t count) {
    return RunUntil(io_, [this, count] { return done_.size() >= count; });
  }

  base::SystemClock clock_;
  asio::io_context io_;
  bool answers_ = true;
  TestServer server_;
  forward::LeafRecord leaf_;
  std::vector<std::pair<forward::CallId, LeafConnections::Result>> done_;
  LeafConnections connections_;
};

TEST_F(LeafConnectionsTest, ReusesAnIdleConnection) {
  Start(1);
  ASSERT_TRUE(Done(1));
  Start(2);
  ASSERT_TRUE(Done(2));
  EXPECT_EQ(server_.accepted(), 1U);
}

TEST_F(LeafConnectionsTest, WarmConnectionCarriesTheNextCall) {
  connections_.Warm(leaf_);
  connections_.Warm(leaf_);
  ASSERT_TRUE(RunUntil(io_, [this] { return server_.accepted() == 1; }));
  io_.poll();
  Start(1);
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(server_.accepted(), 1U);
}

// Guards against connections beyond this host's share.
TEST_F(LeafConnectionsTest, CallBeyondTheShareIsNotSent) {
  answers_ = false;
  Start(1, 1);
  Start(2, 1);
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(done_[0].first, 2U);
  EXPECT_EQ(std::get<forward::CallFailure>(done_[0].second),
            forward::CallFailure::kNotSent);
}

TEST_F(LeafConnectionsTest, LostConnectionMayHaveRunItsCall) {
  answers_ = false;
  Start(1);
  ASSERT_TRUE(RunUntil(io_, [this] { return server_.accepted() == 1; }));
  RunUntil(io_, [n = 0]() mutable { return ++n > 5; });
  server_.CloseConnections();
  ASSERT_TRUE(Done(1));
  EXPECT_EQ(std::get<forward::CallFailure>(done_[0].second),
            forward::CallFailure::kMayHaveRun);
}

TEST_F(LeafConnectionsTest, CancelledCallIsNotReported) {
  answers_ = false;
  Start(1);
  ASSERT_TRUE(RunUntil(io_, [this] { return server_.open() == 1; }));
  connections_.Cancel(1);
  EXPECT_TRUE(RunUntil(io_, [this] { return server_.open() == 0; }));
  EXPECT_TRUE(done_.empty());
}

TEST_F(LeafConnectionsTest, IdleConnectionsOfForgottenLeavesAreClosed) {
  Start(1);
  ASSERT_TRUE(Done(1));
  connections_.CloseIdle([](const std::string&) { return false; });
  EXPECT_TRUE(RunUntil(io_, [this] { return server_.open() == 0; }));
}

}  // namespace
}  // namespace berylreach::gateway
