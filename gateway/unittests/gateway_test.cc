// Tests of callers' requests and the leaf calls that they lead to.
#include "berylreach/gateway/gateway.h"

#include "gateway_fixture.h"

namespace berylreach::gateway {
namespace {

class GatewayTest : public GatewayFixture {};

TEST_F(GatewayTest, RefusesUntilConfigured) {
  const auto gateway = MakeGateway("g", "a");
  RawClient health(io_, health_["g"]);
  health.Send("GET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(health.Expect("HTTP/1.1 503"));
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 503"));
  EXPECT_TRUE(client.Expect("Retry-After: "));
  Load(*gateway);
  RawClient later(io_, health_["g"]);
  later.Send("GET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(later.Expect("HTTP/1.1 200"));
}

TEST_F(GatewayTest, MergesAnswersOfShards) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(client.Expect("X-Sigs: sig0, sig1"));
  EXPECT_TRUE(client.Expect("X-Missing: 0"));
  ASSERT_EQ(leaves_["s0"].requests.size(), 1U);
  const HttpFields& fields = leaves_["s0"].requests[0].fields;
  EXPECT_EQ(fields.Find("X-Id"), "r1");
  EXPECT_EQ(fields.Find("X-Leaf"), "leaf-s0");
  EXPECT_LE(std::stoi(std::string(fields.Find("X-Wait"))), 9000);
}

TEST_F(GatewayTest, PassesAnswerOfOneLeafThrough) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(
      "POST /o/1?x=2 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n"
      "Content-Length: 4\r\n\r\nbody");
  EXPECT_TRUE(client.Expect("\r\n\r\ndone"));
  EXPECT_TRUE(client.Expect("X-Sig: sigo"));
  EXPECT_TRUE(client.Expect("X-Own: 1"));
  ASSERT_EQ(leaves_["o"].requests.size(), 1U);
  EXPECT_EQ(leaves_["o"].requests[0].target, "/o/1?x=2");
  EXPECT_EQ(leaves_["o"].requests[0].body, "body");
}

TEST_F(GatewayTest, UnknownRouteGets404AndRequestWithoutId400) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/x/1"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 404"));
  client.Send("GET /s/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(client.Expect("HTTP/1.1 400"));
}

// Guards against a request that crashes leaves through one host after another
// while the store, through which hosts usually exchange suspect entries, is
// unavailable.
TEST_F(GatewayTest, HostsNotifyEachOtherOfRequestsThatCrashLeaves) {
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  leaves_["o"].server.reset();
  std::unique_ptr<TestServer>& server = leaves_["o"].server;
  server = std::make_unique<TestServer>(
      io_, clock_,
      [&server](ServerConnection&, const HttpRequest&) { server->Stop(); });
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["near"]);
  client.Send(Request("/o/lethal"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 502"));
  EXPECT_TRUE(RunUntil(io_, [this] { return far_->quarantine().size() == 1; }));
  RawClient peer(io_, peers_["far"]);
  peer.Send("POST /suspect HTTP/1.1\r\nX-Id: r\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_TRUE(peer.Expect("HTTP/1.1 400"));
}

// Guards against calls to a leaf that has announced that it is leaving.
TEST_F(GatewayTest, LeavingLeafGetsNoFurtherCalls) {
  leaves_["o"].response =
      Response(200, "X-Sig: sigo\r\nX-Leaving: 1\r\n", "done");
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  EXPECT_TRUE(client.Expect("\r\n\r\ndone")) << "the answer is passed on";
  Load(*gateway);
  RawClient later(io_, callers_["g"]);
  later.Send(Request("/o/1"));
  EXPECT_TRUE(later.Expect("HTTP/1.1 503"));
  EXPECT_EQ(leaves_["o"].requests.size(), 1U);
}

// Guards against calls to a leaf during the pause that it requested by
// Retry-After.
TEST_F(GatewayTest, PausedLeafGetsNoCallsUntilThePauseEnds) {
  leaves_["o"].response = Response(503, "X-Not: 1\r\nRetry-After: 7.5\r\n", "");
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  for (int i = 0; i < 3; ++i) {
    RawClient client(io_, callers_["g"]);
    client.Send(Request("/o/1"));
    ASSERT_TRUE(client.Expect("HTTP/1.1 503"));
    EXPECT_TRUE(client.Expect("Retry-After: 7."));
  }
  EXPECT_EQ(leaves_["o"].requests.size(), 1U);
  leaves_["o"].response = Response(200, "X-Sig: sigo\r\n", "done");
  // The gateway takes the jump of the clock for a pause of its own process.
  bool paused = false;
  gateway->SetOnProcessPaused([&paused] { paused = true; });
  clock_.Advance(std::chrono::seconds(8));
  ASSERT_TRUE(RunUntil(io_, [&paused] { return paused; }));
  gateway->OnStateRefreshed();
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  EXPECT_TRUE(client.Expect("\r\n\r\ndone"));
}

// Guards against passing on a response that belongs to another request.
TEST_F(GatewayTest, AnswerWithAnotherIdIsNotPassedOn) {
  leaves_["o"].response = Response(200, "X-Sig: s\r\nX-Id: other\r\n", "wrong");
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 502"));
  EXPECT_EQ(client.received().find("wrong"), std::string::npos);
}

// Guards against leaves that go on with calls whose caller has disconnected.
TEST_F(GatewayTest, DisconnectedCallerCancelsItsCalls) {
  leaves_["s0"].response.clear();
  leaves_["s1"].response.clear();
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/s/1"));
  ASSERT_TRUE(RunUntil(io_, [this] {
    return !leaves_["s0"].requests.empty() && !leaves_["s1"].requests.empty();
  }));
  EXPECT_EQ(leaves_["s0"].server->open_connections(), 1U);
  client.Close();
  EXPECT_TRUE(RunUntil(io_, [this] {
    return leaves_["s0"].server->open_connections() +
               leaves_["s1"].server->open_connections() ==
           0;
  }));
}

// Guards against further calls to an address at which another incarnation of
// the leaf responds.
TEST_F(GatewayTest, ReplacedLeafIsNotCalledAgain) {
  leaves_["o"].response = Response(421, "", "");
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 503"));
  client.received().clear();
  client.Send(Request("/o/2"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 503"));
  EXPECT_EQ(leaves_["o"].requests.size(), 1U);
}

TEST_F(GatewayTest, SplitRouteFollowsTheWeights) {
  AddLeaf("p", Response(200, "X-Sig: sigp\r\n", "other"));
  configuration_.services.push_back({.name = "p", .max_connections = 20});
  configuration_.routes[1].services = {{"o", 1}, {"p", 3}};
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  for (int i = 0; i < 40; ++i) {
    client.received().clear();
    client.Send(Request("/o/1"));
    ASSERT_TRUE(client.Expect("X-Sig: "));
  }
  EXPECT_NEAR(static_cast<double>(leaves_["o"].requests.size()), 10, 2);
  EXPECT_NEAR(static_cast<double>(leaves_["p"].requests.size()), 30, 2);
}

// Guards against a planned stop that drops running requests, or refuses new
// ones before the load balancer has noticed the stop.
TEST_F(GatewayTest, PlannedStopAnswersRunningRequests) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  leaves_["o"].response.clear();
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  ASSERT_TRUE(RunUntil(io_, [this] { return !leaves_["o"].requests.empty(); }));
  bool stopped = false;
  gateway->Stop([&stopped] { stopped = true; });
  RawClient health(io_, health_["g"]);
  health.Send("GET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(health.Expect("HTTP/1.1 503"));
  // New callers are served until the load balancer has noticed the stop.
  leaves_["o"].response = Response(200, "X-Sig: sigo\r\n", "done");
  RawClient other(io_, callers_["g"]);
  other.Send(Request("/s/1"));
  EXPECT_TRUE(other.Expect("Connection: close"));
  EXPECT_FALSE(stopped);
  EXPECT_TRUE(RunUntil(io_, [&stopped] { return stopped; }));
}

// Guards against requests that run on past their deadline after the machine was
// suspended, since timers do not advance while it is suspended.
TEST_F(GatewayTest, SuspendedTimeCountsTowardsDeadlines) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  leaves_["o"].response.clear();
  RawClient client(io_, callers_["g"]);
  client.Send(Request("/o/1"));
  ASSERT_TRUE(RunUntil(io_, [this] { return !leaves_["o"].requests.empty(); }));
  const auto begin = std::chrono::steady_clock::now();
  clock_.Advance(std::chrono::seconds(60));
  EXPECT_TRUE(client.Expect("HTTP/1.1 504"));
  EXPECT_LE(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
}

// Guards against requests, accepted shortly before a planned stop, that end
// without a response because their leaves take too long.
TEST_F(GatewayTest, PlannedStopAnswersRequestsThatItCannotWaitFor) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  leaves_["o"].response.clear();
  leaves_["s0"].response.clear();
  RawClient order(io_, callers_["g"]);
  order.Send(Request("/o/1"));
  RawClient search(io_, callers_["g"]);
  search.Send(Request("/s/1"));
  ASSERT_TRUE(RunUntil(io_, [this] {
    return !leaves_["o"].requests.empty() && !leaves_["s0"].requests.empty();
  }));
  bool stopped = false;
  gateway->Stop([&stopped] { stopped = true; });
  EXPECT_TRUE(order.Expect("HTTP/1.1 504"));
  EXPECT_TRUE(search.Expect("HTTP/1.1 504"));
  EXPECT_FALSE(stopped);
  EXPECT_TRUE(RunUntil(io_, [&stopped] { return stopped; }));
}

// Guards against requests that come late in a planned stop on an open
// connection, are passed on to a leaf, and end without an answer when the
// process exits.
TEST_F(GatewayTest, LateRequestsOfAPlannedStopGetAnswers) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  leaves_["o"].response.clear();
  const auto connect = [this] {
    auto client = std::make_unique<RawClient>(io_, callers_["g"]);
    // A first request shows that the connection is open and kept.
    client->Send(Request("/s/1"));
    EXPECT_TRUE(client->Expect(kLow));
    return client;
  };
  std::vector<std::unique_ptr<RawClient>> clients(7);
  for (auto& client : clients) client = connect();
  const auto slow_sender = connect();
  bool stopped = false;
  gateway->Stop([&stopped] { stopped = true; });
  const auto begin = std::chrono::steady_clock::now();
  const auto wait_until = [&](milliseconds since_stop) {
    RunUntil(io_, [&] {
      return std::chrono::steady_clock::now() - begin >= since_stop;
    });
  };
  constexpr milliseconds spacing{400};
  for (std::size_t i = 0; i < clients.size(); ++i) {
    wait_until(spacing * i);
    clients[i]->Send(Request("/o/1"));
  }
  // This request is complete only after the host has stopped accepting.
  const std::string request = Request("/o/1");
  slow_sender->Send(request.substr(0, request.size() / 2));
  wait_until(milliseconds(4000));
  slow_sender->Send(request.substr(request.size() / 2));
  EXPECT_TRUE(slow_sender->Expect("HTTP/1.1 503"));
  // The leaf may have run the first one; later ones need not be passed on.
  EXPECT_TRUE(clients.front()->Expect("HTTP/1.1 504"));
  for (const auto& client : clients) {
    EXPECT_TRUE(client->Expect("HTTP/1.1 50"));
    EXPECT_TRUE(client->ExpectEnd());
  }
  EXPECT_TRUE(RunUntil(io_, [&stopped] { return stopped; }));
}

// Guards against a host that still accepts requests when its grace period,
// which may be short, is over.
TEST_F(GatewayTest, ShortGracePeriodEndsAcceptanceInTime) {
  stop_grace_ = milliseconds(2000);
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  leaves_["o"].response.clear();
  RawClient running(io_, callers_["g"]);
  running.Send(Request("/o/1"));
  RawClient late(io_, callers_["g"]);
  const std::string request = Request("/o/1");
  late.Send(request.substr(0, request.size() / 2));
  ASSERT_TRUE(RunUntil(io_, [this] { return !leaves_["o"].requests.empty(); }));
  bool stopped = false;
  gateway->Stop([&stopped] { stopped = true; });
  const auto begin = std::chrono::steady_clock::now();
  RunUntil(io_, [&] {
    return std::chrono::steady_clock::now() - begin >= milliseconds(1100);
  });
  late.Send(request.substr(request.size() / 2));
  EXPECT_TRUE(late.Expect("HTTP/1.1 503"));
  EXPECT_TRUE(running.Expect("HTTP/1.1 504"));
  EXPECT_TRUE(RunUntil(io_, [&stopped] { return stopped; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, *stop_grace_);
  EXPECT_EQ(leaves_["o"].requests.size(), 1U);
}

}  // namespace
}  // namespace berylreach::gateway
