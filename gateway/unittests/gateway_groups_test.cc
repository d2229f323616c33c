// Tests of groups of shards that hosts run for each other.
#include "berylreach/gateway/gateway.h"
#include "gateway_fixture.h"

namespace berylreach::gateway {
namespace {

class GatewayGroupsTest : public GatewayFixture {};

TEST_F(GatewayGroupsTest, HostInRegionWithoutLeavesDelegatesShards) {
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(client.Expect("X-Sigs: sig0, sig1"));
  EXPECT_EQ(leaves_["s0"].requests.size(), 1U);
  EXPECT_TRUE(HasSentLeafCalls("near", 2));
}

// Guards against a group that is run with other settings than the sender's,
// because the other host has an older configuration of the route.
TEST_F(GatewayGroupsTest,
       HostWithOlderConfigurationOfTheRouteRunsNothingForOthers) {
  MakeNearAndFar();
  Load(*near_);
  configuration_.version = 4;
  configuration_.routes[0].attempts = 1;
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(HasSentLeafCalls("near", 0));
}

// Guards against small hosts having to call all shards themselves whenever a
// change of other routes has not reached every host.
TEST_F(GatewayGroupsTest, HostWithAnotherVersionOfTheSameRouteRunsItsShards) {
  MakeNearAndFar();
  Load(*near_);
  configuration_.version = 4;
  configuration_.routes[1].timeout = milliseconds(9000);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(HasSentLeafCalls("near", 2));
}

// Guards against small hosts having to call all shards themselves while a new
// set of shards has not reached every host.
TEST_F(GatewayGroupsTest, HostRunsShardsOfTheConfigurationThatItJustReplaced) {
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  configuration_.version = 4;
  configuration_.routes[0].shards = {"s1", "s0"};
  near_->SetConfiguration(configuration_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(HasSentLeafCalls("near", 2));
}

// Guards against a partial response at the deadline that lacks results which
// another host already has.
TEST_F(GatewayGroupsTest, PartialAnswerIncludesProgressOfAnotherHost) {
  configuration_.routes[0].objective = milliseconds(1000);
  configuration_.routes[0].minimum_coverage = 0.5;
  leaves_["s1"].response.clear();
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect("\r\n\r\n" + kLow));
  EXPECT_TRUE(client.Expect("X-Sigs: sig0\r\n"));
  EXPECT_TRUE(client.Expect("X-Missing: 1"));
}

// Guards against running a request again, beyond the route's attempts, after
// the host that ran it was lost.
TEST_F(GatewayGroupsTest, ShardsOfLostHostAreNotCalledAgain) {
  leaves_["s0"].response.clear();
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  ASSERT_TRUE(
      RunUntil(io_, [this] { return !leaves_["s0"].requests.empty(); }));
  near_.reset();
  EXPECT_TRUE(client.Expect("HTTP/1.1 502"));
  EXPECT_EQ(leaves_["s0"].requests.size(), 1U);
}

// Guards against merging results of the wrong shards, because the other host
// has another list of shards and the sender names shards by their positions.
TEST_F(GatewayGroupsTest, HostWithOtherShardsRunsNothingForOthers) {
  MakeNearAndFar();
  Load(*far_);
  configuration_.version = 4;
  configuration_.routes[0].shards = {"s1", "s0"};
  Load(*near_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  EXPECT_TRUE(client.Expect(kHigh + kLow));
  EXPECT_TRUE(HasSentLeafCalls("near", 0));
}

// Guards against leaves that go on with another host's group after the caller
// has disconnected.
TEST_F(GatewayGroupsTest, DisconnectedCallerCancelsTheCallsOfOtherHosts) {
  leaves_["s0"].response.clear();
  MakeNearAndFar();
  Load(*near_);
  Load(*far_);
  RawClient client(io_, callers_["far"]);
  client.Send(Request("/s/1"));
  ASSERT_TRUE(
      RunUntil(io_, [this] { return !leaves_["s0"].requests.empty(); }));
  client.Close();
  EXPECT_TRUE(RunUntil(
      io_, [this] { return leaves_["s0"].server->open_connections() == 0; }));
}

}  // namespace
}  // namespace berylreach::gateway
