// Tests the change of a route to a new set of shards.
#include "berylreach/gateway/gateway.h"
#include "gateway_fixture.h"

namespace berylreach::gateway {
namespace {

const std::string kNewLow(16, 'c');
const std::string kNewHigh(16, 'd');

class GatewayShardSetsTest : public GatewayFixture {
 protected:
  /// Adds leaves of the shards n0 and n1.
  void AddNewSet() {
    AddLeaf("n0", Response(200, "X-Sig: new0\r\n", kNewLow));
    AddLeaf("n1", Response(200, "X-Sig: new1\r\n", kNewHigh));
  }

  /// Lists the leaves of the new set, which are cold for `cold_left`, and
  /// learns of the version that names it.
  void LearnNewSet(Gateway& gateway, milliseconds cold_left) {
    forward::Configuration newest = configuration_;
    newest.version = 4;
    newest.routes[0].shards = {"n0", "n1"};
    for (const char* name : {"n0", "n1"}) {
      newest.services.push_back(
          {.name = name, .max_connections = 20, .cold_rate = 1000});
      gateway.directory().Put({.id = std::string("leaf-") + name,
                               .service = name,
                               .address = leaves_[name].server->address(),
                               .zone = "a",
                               .slots = 2,
                               .cold_left = cold_left});
    }
    gateway.SetConfiguration(newest);
  }

  bool ExpectMetric(const std::string& host, const std::string& line) {
    return RunUntil(io_, [&] {
      RawClient client(io_, health_[host]);
      client.Send("GET /metrics HTTP/1.1\r\n\r\n");
      return client.Expect("berylreach_leaves ") &&
             client.received().find(line + "\n") != std::string::npos;
    });
  }
};

// Guards against requests to leaves that have just started, while the former
// leaves serve, and against connections that are only opened by requests.
TEST_F(GatewayShardSetsTest, RouteStaysOnItsShardsUntilTheNewOnesAreWarm) {
  near_ = MakeGateway("near", "a");
  Load(*near_);
  AddNewSet();
  LearnNewSet(*near_, milliseconds(1000));
  EXPECT_EQ(near_->configuration_version(), 3U);
  EXPECT_TRUE(ExpectMetric("near", "berylreach_shard_sets_pending 1"));
  RawClient client(io_, callers_["near"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(RunUntil(io_, [this] {
    return leaves_["n0"].server->open_connections() > 0 &&
           leaves_["n1"].server->open_connections() > 0;
  }));
  EXPECT_TRUE(leaves_["n0"].requests.empty());
  EXPECT_TRUE(ExpectMetric("near", "berylreach_shard_sets_ready_total 1"));
  client.Send(Request("/s/2"));
  EXPECT_TRUE(client.Expect(kNewHigh + kNewLow));
  EXPECT_EQ(leaves_["s0"].requests.size(), 1U);
  EXPECT_EQ(leaves_["n0"].server->accepted_connections(), 1U);
}

// Guards against requests that fail or come late during the change, because new
// leaves refuse calls while they are cold, and against answers of both sets.
TEST_F(GatewayShardSetsTest, EveryRequestOfTheChangeIsAnsweredFromOneSet) {
  near_ = MakeGateway("near", "a");
  Load(*near_);
  const std::string refusal = Response(503, "X-Not: 1\r\n", "");
  AddLeaf("n0", refusal);
  AddLeaf("n1", refusal);
  const auto warm_at = std::chrono::steady_clock::now() + milliseconds(1000);
  LearnNewSet(*near_, milliseconds(1000));
  int old_answers = 0;
  int new_answers = 0;
  RawClient client(io_, callers_["near"]);
  while (new_answers < 20) {
    if (std::chrono::steady_clock::now() >= warm_at) {
      leaves_["n0"].response = Response(200, "X-Sig: new0\r\n", kNewLow);
      leaves_["n1"].response = Response(200, "X-Sig: new1\r\n", kNewHigh);
    }
    client.received().clear();
    const auto sent = std::chrono::steady_clock::now();
    client.Send(Request("/s/1"));
    ASSERT_TRUE(RunUntil(io_, [&client] {
      return client.received().size() > 60 &&
             (client.received().ends_with(kLow) ||
              client.received().ends_with(kNewLow) ||
              !client.received().starts_with("HTTP/1.1 200"));
    }));
    const std::string& answer = client.received();
    const bool from_old = answer.ends_with(kHigh + kLow);
    const bool from_new = answer.ends_with(kNewHigh + kNewLow);
    ASSERT_TRUE(from_old || from_new) << answer;
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(2000));
    EXPECT_FALSE(from_old && new_answers > 0) << "back to the old set";
    ++(from_old ? old_answers : new_answers);
  }
  EXPECT_GT(old_answers, 0);
}

// Guards against hosts that decline each other's groups while some have changed
// to a new set of shards and others have not.
TEST_F(GatewayShardSetsTest, HostsRunGroupsOfBothSetsForEachOther) {
  MakeNearAndFar();
  Load(*near_);
  AddNewSet();
  LearnNewSet(*near_, milliseconds(60000));
  // The other host has started with the new version and uses its shards.
  LearnNewSet(*far_, milliseconds(0));
  far_->SetHosts(hosts_);
  far_->SetDirectoryLoaded();
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect("HTTP/1.1 200"));
  EXPECT_TRUE(ExpectMetric("far", "berylreach_group_failures_total 0"));
  EXPECT_TRUE(ExpectMetric("near", "berylreach_groups_run_total 1"));
  EXPECT_TRUE(ExpectMetric("near", "berylreach_shard_sets_pending 1"));
}

// Guards against a host that declines the groups of hosts with the former
// version after it has itself changed to the new shards.
TEST_F(GatewayShardSetsTest, HostRunsGroupsOfTheSetThatItJustLeft) {
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  AddNewSet();
  LearnNewSet(*near_, milliseconds(0));
  ASSERT_TRUE(ExpectMetric("near", "berylreach_shard_sets_ready_total 1"));
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(HasSentLeafCalls("near", 2));
}

}  // namespace
}  // namespace berylreach::gateway
