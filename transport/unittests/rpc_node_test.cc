// Guards against messages that are lost on a working connection, and against a
// peer that stays unreachable after a restart or a lost connection.
#include "berylreach/transport/rpc_node.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "collector.h"
#include "test_socket.h"

namespace berylreach::transport {
namespace {

model::PeerMessage CallWithCounter(std::uint64_t counter) {
  model::LeafCall call;
  call.id = {1, counter};
  call.budget = std::chrono::seconds(1);
  return call;
}

std::uint64_t CounterOf(const model::Envelope& envelope) {
  return std::get<model::LeafCall>(envelope.message).id.counter;
}

class RpcNodeTest : public testing::Test {
 protected:
  std::unique_ptr<RpcNode> Open(const std::string& name,
                                const std::string& address = "127.0.0.1:0") {
    RpcOptions options;
    options.self = {name};
    options.incarnation = 7;
    options.address = address;
    options.call_timeout = std::chrono::milliseconds(200);
    auto node = RpcNode::Open(
        options,
        [this](std::vector<model::Envelope> envelopes) {
          batches_.Add(envelopes.size());
          for (model::Envelope& envelope : envelopes)
            received_.Add(std::move(envelope));
        },
        [this](model::HostName host) { disconnected_.Add(std::move(host)); });
    return node.has_error() ? nullptr : std::move(node.value());
  }

  /// Sends messages with counters from `first` on until one of them arrives;
  /// false if none of 2000 does.
  bool SendUntilReceived(RpcNode& node, std::uint64_t first) {
    for (std::uint64_t counter = first; counter < first + 2000; ++counter) {
      node.Send({"b"}, CallWithCounter(counter));
      if (received_.WaitAnyFor(
              std::chrono::milliseconds(10),
              [&](const auto& item) { return CounterOf(item) >= first; }))
        return true;
    }
    return false;
  }

  Collector<model::Envelope> received_;
  /// Number of messages in each call.
  Collector<std::size_t> batches_;
  Collector<model::HostName> disconnected_;
};

TEST_F(RpcNodeTest, DeliversMessagesInOrderWithTheirSender) {
  const auto a = Open("a");
  const auto b = Open("b");
  a->SetPeers({{{"b"}, b->address()}});
  constexpr std::uint64_t message_count = 2000;
  for (std::uint64_t i = 0; i < message_count; ++i)
    ASSERT_TRUE(a->Send({"b"}, CallWithCounter(i)));
  const auto received = received_.Wait(message_count);
  ASSERT_EQ(received.size(), message_count);
  for (std::uint64_t i = 0; i < message_count; ++i)
    ASSERT_EQ(CounterOf(received[i]), i);
  EXPECT_EQ(received[0].from.value, "a");
  EXPECT_EQ(received[0].incarnation, 7U);
}

// Guards against a separate call for each message that one event produces.
TEST_F(RpcNodeTest, MessagesQueuedBeforeAFlushAreSentInOneCall) {
  const auto a = Open("a");
  const auto b = Open("b");
  a->SetPeers({{{"b"}, b->address()}});
  ASSERT_TRUE(SendUntilReceived(*a, 0));
  constexpr std::uint64_t message_count = 20;
  for (std::uint64_t i = 0; i < message_count; ++i) {
    ASSERT_TRUE(a->Send({"b"}, CallWithCounter(i), base::Wakeup::kAtFlush));
  }
  a->Flush();
  // Earlier messages may still be queued and become part of the same call.
  EXPECT_TRUE(batches_.WaitAny(
      [](std::size_t messages) { return messages >= message_count; }));
}

TEST_F(RpcNodeTest, RefusesUnknownPeersAndFullQueues) {
  const auto a = Open("a");
  EXPECT_FALSE(a->Send({"b"}, CallWithCounter(0)));
  TestListener unresponsive;
  a->SetPeers({{{"b"}, unresponsive.address()}});
  bool refused = false;
  for (int i = 0; i < 100000 && !refused; ++i)
    refused = !a->Send({"b"}, CallWithCounter(0));
  EXPECT_TRUE(refused);
}

TEST_F(RpcNodeTest, ReconnectsToARestartedPeer) {
  const auto a = Open("a");
  auto b = Open("b");
  const std::string address = b->address();
  a->SetPeers({{{"b"}, address}});
  ASSERT_TRUE(SendUntilReceived(*a, 0));
  b.reset();
  b = Open("b", address);
  ASSERT_NE(b, nullptr);
  EXPECT_TRUE(SendUntilReceived(*a, 10000));
}

// Guards against a closed connection that is noticed only when the next message
// is sent.
TEST_F(RpcNodeTest, ReportsADisconnectedPeerWithoutSending) {
  const auto a = Open("a");
  auto b = Open("b");
  a->SetPeers({{{"b"}, b->address()}});
  ASSERT_TRUE(SendUntilReceived(*a, 0));
  EXPECT_EQ(disconnected_.size(), 0U);
  b.reset();
  EXPECT_TRUE(disconnected_.WaitAny(
      [](const auto& host) { return host.value == "b"; }));
}

// Guards against calls that are retried elsewhere because a peer that is only
// unresponsive was reported as disconnected.
TEST_F(RpcNodeTest, DoesNotReportAnUnresponsivePeer) {
  const auto a = Open("a");
  TestListener unresponsive;
  a->SetPeers({{{"b"}, unresponsive.address()}});
  ASSERT_TRUE(a->Send({"b"}, CallWithCounter(0)));
  TestSocket first = unresponsive.Accept();
  EXPECT_NE(first.ReadAll(), "");
  ASSERT_TRUE(a->Send({"b"}, CallWithCounter(1)));
  EXPECT_TRUE(unresponsive.Accept().is_open());
  EXPECT_EQ(disconnected_.size(), 0U);
}

TEST_F(RpcNodeTest, ReplacesAnUnresponsiveConnection) {
  const auto a = Open("a");
  TestListener unresponsive;
  a->SetPeers({{{"b"}, unresponsive.address()}});
  ASSERT_TRUE(a->Send({"b"}, CallWithCounter(0)));
  TestSocket first = unresponsive.Accept();
  ASSERT_TRUE(first.is_open());
  // No call on the first connection returns, so the node must close it.
  EXPECT_NE(first.ReadAll(), "");
  ASSERT_TRUE(a->Send({"b"}, CallWithCounter(1)));
  EXPECT_TRUE(unresponsive.Accept().is_open());
}

TEST_F(RpcNodeTest, ReportsAnAddressThatIsInUse) {
  const auto a = Open("a");
  RpcOptions options;
  options.address = a->address();
  const auto second =
      RpcNode::Open(options, [](std::vector<model::Envelope>) {});
  ASSERT_TRUE(second.has_error());
  EXPECT_EQ(second.error().address, a->address());
}

}  // namespace
}  // namespace berylreach::transport
