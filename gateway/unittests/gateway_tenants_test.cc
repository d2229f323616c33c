// Tests of callers' keys: guards against requests that run without a valid key,
// keys that leave the host, and names of tenants that callers choose
// themselves.
#include <algorithm>
#include <sstream>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/request_fingerprint.h"
#include "berylreach/host/log.h"
#include "gateway_fixture.h"
#include "recording_proxy.h"

namespace berylreach::gateway {
namespace {

constexpr char kKey[] = "secret-key-of-acme";

class GatewayTenantsTest : public GatewayFixture {
 protected:
  GatewayTenantsTest() {
    forward::Route open = configuration_.routes[1];
    open.name = "open";
    open.prefix = "/open/";
    open.is_public = true;
    configuration_.routes.push_back(open);
    SetKeys({kKey});
  }

  void SetKeys(const std::vector<std::string>& keys) {
    forward::Tenant acme{.name = "acme"};
    for (const std::string& key : keys)
      acme.api_keys.push_back(forward::ApiKey::Of(key));
    configuration_.tenants = {acme};
  }

  /// Puts the next version of the configuration in force.
  void Adopt(Gateway& gateway) {
    ++configuration_.version;
    gateway.SetConfiguration(configuration_);
  }

  static std::string With(const std::string& path, const std::string& fields) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" + fields +
           "\r\n";
  }
  static std::string KeyField(const std::string& key) {
    return "X-Key: " + key + "\r\n";
  }

  /// Sends a request and returns the status of the response.
  static std::string StatusOf(RawClient& client, const std::string& request) {
    client.received().clear();
    client.Send(request);
    EXPECT_TRUE(client.Expect("\r\n\r\n"));
    return client.received().substr(9, 3);
  }

  /// The fields of the last call that the leaf got; none if it got none.
  HttpFields LastFields(const std::string& service) {
    const auto& requests = leaves_[service].requests;
    return requests.empty() ? HttpFields() : requests.back().fields;
  }
};

TEST_F(GatewayTenantsTest, OnlyRequestsWithAKeyRun) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  EXPECT_EQ(StatusOf(client, With("/o/1", "")), "401");
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField("wrong"))), "401");
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(""))), "401");
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey) + "x-key: other\r\n")),
            "401");
  EXPECT_TRUE(leaves_["o"].requests.empty());
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey))), "200");
  EXPECT_EQ(LastFields("o").FindAll("X-Tenant"),
            std::vector<std::string_view>{"acme"});
  EXPECT_FALSE(LastFields("o").Has("X-Key"));
}

// Guards against a 401 for a valid key while the host knows no keys yet, and
// against checks in another order.
TEST_F(GatewayTenantsTest, ChecksHaveAFixedOrder) {
  const auto gateway = MakeGateway("g", "a");
  RawClient client(io_, callers_["g"]);
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey))), "503");
  EXPECT_EQ(StatusOf(client, With("/o/1", "")), "503");
  configuration_.routes[1].regions = {"elsewhere"};
  configuration_.tenants[0].regions = {"ra"};
  Load(*gateway);
  EXPECT_EQ(StatusOf(client, "GET /x/1 HTTP/1.1\r\nHost: h\r\n\r\n"), "400");
  EXPECT_EQ(StatusOf(client, With("/x/1", "")), "404");
  EXPECT_EQ(StatusOf(client, With("/o/1", "")), "401");
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey))), "403");
  EXPECT_TRUE(leaves_["o"].requests.empty());
}

// Guards against a caller that passes for another tenant, or hides its tenant,
// by fields of its own.
TEST_F(GatewayTenantsTest, CallersCannotChooseTheNameThatLeavesGet) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  for (const std::string fields :
       {"X-Tenant: other\r\n", "x-tenant: other\r\nX-TENANT: third\r\n",
        "Connection: X-Tenant, X-Key\r\n"}) {
    EXPECT_EQ(StatusOf(client, With("/o/1", fields + KeyField(kKey))), "200");
    EXPECT_EQ(LastFields("o").FindAll("X-Tenant"),
              std::vector<std::string_view>{"acme"})
        << fields;
    EXPECT_EQ(StatusOf(client, With("/open/1", fields + KeyField("any"))),
              "200");
    EXPECT_FALSE(LastFields("o").Has("X-Tenant")) << fields;
    EXPECT_FALSE(LastFields("o").Has("X-Key")) << fields;
  }
}

// Guards against fields of a trailer that are taken for those of the header.
TEST_F(GatewayTenantsTest, TrailersNameNoTenantAndHoldNoKey) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  const auto chunked = [](const std::string& fields,
                          const std::string& trailer) {
    return "POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" + fields +
           "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" + trailer +
           "\r\n";
  };
  EXPECT_EQ(StatusOf(client, chunked(KeyField(kKey),
                                     "X-Tenant: other\r\nX-Key: other\r\n")),
            "200");
  EXPECT_EQ(LastFields("o").FindAll("X-Tenant"),
            std::vector<std::string_view>{"acme"});
  EXPECT_FALSE(LastFields("o").Has("X-Key"));
  EXPECT_EQ(StatusOf(client, chunked("", KeyField(kKey))), "401");
}

// Guards against connections that keep the rights which they began with.
TEST_F(GatewayTenantsTest, OpenConnectionsFollowEachVersion) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey))), "200");
  SetKeys({"new"});
  Adopt(*gateway);
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField(kKey))), "401");
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField("new"))), "200");
  SetKeys({});
  Adopt(*gateway);
  EXPECT_EQ(StatusOf(client, With("/o/1", KeyField("new"))), "401");
  configuration_.tenants.clear();
  Adopt(*gateway);
  EXPECT_EQ(StatusOf(client, With("/o/1", "")), "200");
}

// Guards against a refusal of a key that all versions contain, while many
// versions arrive.
TEST_F(GatewayTenantsTest, ManyVersionsRefuseNoKeyThatAllContain) {
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  RawClient client(io_, callers_["g"]);
  for (int i = 0; i < 50; ++i) {
    SetKeys({"changing" + std::to_string(i), kKey});
    client.received().clear();
    client.Send(With("/o/1", KeyField(kKey)));
    for (int version = 0; version < 3; ++version) Adopt(*gateway);
    ASSERT_TRUE(client.Expect("HTTP/1.1 200"));
    ASSERT_TRUE(client.Expect("\r\n\r\ndone"));
  }
}

// Guards against forwarded requests that change for deployments without
// tenants.
TEST_F(GatewayTenantsTest, WithoutTenantsFieldsAreForwardedAsTheyAre) {
  configuration_.tenants.clear();
  const auto gateway = MakeGateway("g", "a");
  const std::string fields = "X-Tenant: mine\r\nX-Key: k\r\nx-tenant: too\r\n";
  Load(*gateway);
  RecordingProxy leaf(io_, leaves_["o"].server->address());
  gateway->directory().Put({.id = "leaf-o",
                            .service = "o",
                            .address = leaf.address(),
                            .zone = "a",
                            .slots = 2});
  RawClient client(io_, callers_["g"]);
  EXPECT_EQ(StatusOf(client, With("/o/1", fields)), "200");
  EXPECT_TRUE(
      leaf.sent().starts_with("GET /o/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"))
      << leaf.sent();
  for (const char* line :
       {"\r\nX-Tenant: mine\r\n", "\r\nx-tenant: too\r\n", "\r\nX-Key: k\r\n"})
    EXPECT_NE(leaf.sent().find(line), std::string::npos) << leaf.sent();
}

// Guards against leaves outside the tenant's regions, also through a host that
// would run a group there.
TEST_F(GatewayTenantsTest, RequestsOfATenantStayInItsRegions) {
  configuration_.tenants[0].regions = {"rb"};
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  EXPECT_EQ(StatusOf(client, With("/s/1", KeyField(kKey))), "503");
  EXPECT_TRUE(leaves_["s0"].requests.empty());
  configuration_.tenants[0].regions = {"ra"};
  Adopt(*far_);
  EXPECT_EQ(StatusOf(client, With("/s/1", KeyField(kKey))), "200");
  EXPECT_TRUE(HasSentLeafCalls("far", 2)) << "not divided";
}

// Guards against leaves that get no name or two, from a host that runs a group
// under a version without tenants or with other ones.
TEST_F(GatewayTenantsTest, GroupsNameTheTenantUnderEveryVersion) {
  MakeNearAndFar();
  Load(*far_);
  configuration_.tenants.clear();
  Load(*near_);
  RawClient client(io_, callers_["far"]);
  const std::string request =
      With("/s/1", "X-Tenant: other\r\n" + KeyField(kKey));
  const auto names_acme = [&](std::size_t calls) {
    return StatusOf(client, request) == "200" &&
           leaves_["s0"].requests.size() == calls &&
           LastFields("s0").FindAll("X-Tenant") ==
               std::vector<std::string_view>{"acme"} &&
           !LastFields("s0").Has("X-Key");
  };
  EXPECT_TRUE(names_acme(1));
  SetKeys({kKey});
  Adopt(*near_);
  EXPECT_TRUE(names_acme(2));
  configuration_.tenants[0].name = "another";
  Adopt(*near_);
  EXPECT_TRUE(names_acme(3));
  EXPECT_TRUE(HasSentLeafCalls("near", 6));
}

// Guards against a tenant that fills the host, and against room that is not
// given back when requests end. The host admits 16 requests.
TEST_F(GatewayTenantsTest, HotTenantLeavesRoomToOthers) {
  cores_ = 0.01;
  std::vector<std::weak_ptr<ServerConnection>> calls;
  leaves_["o"].server = std::make_unique<TestServer>(
      io_, clock_, [&calls](ServerConnection& connection, const HttpRequest&) {
        calls.push_back(connection.weak_from_this());
      });
  configuration_.tenants.push_back(
      {.name = "small", .api_keys = {forward::ApiKey::Of("small-key")}});
  const auto gateway = MakeGateway("g", "a");
  Load(*gateway);
  const auto running = [this](int requests) {
    return RunUntil(io_, [this, requests] {
      RawClient metrics(io_, health_["g"]);
      metrics.Send("GET /metrics HTTP/1.1\r\n\r\n");
      return metrics.Expect("berylreach_log_lines_dropped_total") &&
             metrics.received().find("berylreach_requests_running " +
                                     std::to_string(requests) + "\n") !=
                 std::string::npos;
    });
  };
  std::vector<std::unique_ptr<RawClient>> hot;
  const auto send_hot = [&] {
    hot.push_back(std::make_unique<RawClient>(io_, callers_["g"]));
    hot.back()->Send(With("/o/1", KeyField(kKey)));
  };
  for (int i = 0; i < 20; ++i) send_hot();
  EXPECT_TRUE(hot.back()->Expect("HTTP/1.1 503"));
  EXPECT_TRUE(hot.back()->Expect("Retry-After: "));
  EXPECT_TRUE(running(14));
  RawClient small(io_, callers_["g"]);
  small.Send(With("/o/1", KeyField("small-key")));
  EXPECT_TRUE(running(15));
  ASSERT_TRUE(RunUntil(io_, [&] { return calls.size() == 15; }));
  for (const auto& call : std::exchange(calls, {}))
    call.lock()->Respond(leaves_["o"].response, true);
  EXPECT_TRUE(small.Expect("\r\n\r\ndone"));
  EXPECT_TRUE(running(0));
  // Fewer than before, since the other tenant counts as active for a second.
  for (int i = 0; i < 13; ++i) send_hot();
  EXPECT_TRUE(running(13));
}

// Guards against one tenant's request that is blocked for crashes which the
// same request of another tenant caused, and against hosts that disagree on the
// fingerprint of a group.
TEST_F(GatewayTenantsTest, FingerprintContainsTheTenant) {
  const WireNames names;
  HttpRequest request{.method = "GET", .target = "/"};
  const std::uint64_t without = FingerprintOf(request, names);
  request.tenant = "a";
  const std::uint64_t with = FingerprintOf(request, names);
  EXPECT_NE(with, without);
  request.tenant = "b";
  EXPECT_NE(FingerprintOf(request, names), with);
}

// Guards against a key in anything that leaves the host: calls to leaves,
// messages between hosts, responses, metrics and the log.
TEST_F(GatewayTenantsTest, KeysDoNotLeaveTheHost) {
  std::ostringstream log;
  host::StartLog("test", log);
  MakeNearAndFar();
  RecordingProxy peer(io_, peers_["near"]);
  RecordingProxy leaf(io_, leaves_["s0"].server->address());
  RecordingProxy order_leaf(io_, leaves_["o"].server->address());
  hosts_[0].address = peer.address();
  Load(*near_);
  Load(*far_);
  near_->directory().Put({.id = "leaf-s0",
                          .service = "s0",
                          .address = leaf.address(),
                          .zone = "a",
                          .slots = 2});
  for (const auto& gateway : {near_.get(), far_.get()})
    gateway->directory().Put({.id = "leaf-o",
                              .service = "o",
                              .address = order_leaf.address(),
                              .zone = "a",
                              .slots = 2});
  RawClient client(io_, callers_["far"]);
  const std::string key = KeyField(kKey);
  std::string responses;
  const auto send = [&](const std::string& request,
                        const std::string& expected) {
    EXPECT_EQ(StatusOf(client, request), expected) << request;
    responses += client.received();
  };
  send(With("/s/1", key), "200");
  send(With("/o/1", key + "X-Tenant: " + kKey + "\r\n"), "200");
  send(With("/open/1", key), "200");
  send(With("/x/1", key), "404");
  send("GET /s/1 HTTP/1.1\r\nHost: h\r\n" + key + "\r\n", "400");
  send(With("/s/1", "X-Key: " + std::string(kKey) + "x\r\n"), "401");
  send(With("/s/1", key + key), "401");
  leaves_["o"].response = Response(500, "", "");
  send(With("/o/1", key), "502");
  leaves_["o"].server->Stop();
  RawClient lost(io_, callers_["far"]);
  send(With("/o/2", key), "502");
  lost.Send("GET / HTTP/1.1\r\n" + key + "Broken\r\n\r\n");
  EXPECT_TRUE(lost.Expect("HTTP/1.1 400"));
  SetKeys({});
  Adopt(*far_);
  send(With("/s/1", key), "401");
  RawClient metrics(io_, health_["far"]);
  metrics.Send("GET /metrics HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(metrics.Expect("berylreach_tenant_requests_total"));
  host::StopLog();

  EXPECT_NE(peer.sent().find("\r\nX-Tenant: acme\r\n"), std::string::npos);
  EXPECT_NE(leaf.sent().find("\r\nX-Tenant: acme\r\n"), std::string::npos);
  EXPECT_NE(log.str().find(R"("tenant":"acme")"), std::string::npos)
      << log.str();
  for (const std::string& text :
       {peer.sent(), leaf.sent(), order_leaf.sent(), responses,
        metrics.received(), lost.received(), log.str()})
    EXPECT_EQ(text.find("secret"), std::string::npos) << text;
}

// Guards against metrics with a label for each of many tenants, and against
// refusals that are not counted.
TEST_F(GatewayTenantsTest, MetricsNameTheLargestTenants) {
  TenantMetrics metrics;
  for (int i = 0; i < 1000; ++i)
    for (int n = 0; n <= i; ++n) metrics.OnRequest("t" + std::to_string(i));
  metrics.OnRefused("t999", TenantRefusal::kQuota);
  metrics.OnRefused("t1", TenantRefusal::kFull);
  metrics.OnKeyRefused(forward::AccessRefusal::kMissingKey);
  std::string text;
  metrics.AppendTo(text);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 15);
  for (const char* line :
       {"berylreach_tenant_requests_total{tenant=\"t999\"} 1000\n",
        "berylreach_tenant_requests_total{tenant=\"others\"} 490545\n",
        "berylreach_tenant_refused_total{tenant=\"t999\",cause=\"quota\"} 1\n",
        "berylreach_tenant_refused_total{tenant=\"others\",cause=\"full\"} 1\n",
        "berylreach_key_refused_total{cause=\"missing\"} 1\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  metrics.KeepTenantsOf(forward::RouteTable(forward::Configuration{}));
  text.clear();
  metrics.AppendTo(text);
  EXPECT_NE(text.find("{tenant=\"others\"} 500500\n"), std::string::npos);
}

}  // namespace
}  // namespace berylreach::gateway
