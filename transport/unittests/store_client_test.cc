// Guards against a write that is reported as failed or successful although its
// answer was lost, against requests that are sent twice, and against values
// that are corrupted in transit.
#include "berylreach/transport/store_client.h"

#include <gtest/gtest.h>

#include <string>

#include "berylreach/transport/host_list_client.h"
#include "collector.h"
#include "test_socket.h"

namespace berylreach::transport {
namespace {

using model::StoreOperation;
using model::StoreOutcome;

std::string Answer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nX-Consul-Index: 42\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

class StoreClientTest : public testing::Test {
 protected:
  StoreClientTest() { Open(std::chrono::milliseconds(1000)); }

  void Open(std::chrono::milliseconds timeout) {
    StoreOptions options;
    options.address = store_.address();
    options.call_timeout = timeout;
    options.watch_margin = timeout;
    client_ = std::make_unique<StoreClient>(
        thread_, options,
        [this](model::StoreResult result) { results_.Add(std::move(result)); });
  }

  /// Sends a write; the store reads it and closes the connection without an
  /// answer.
  void WriteWithoutAnswer() {
    ASSERT_TRUE(
        client_->Send({1, StoreOperation::kCompareAndSwap, "k", "v", 3, {}}));
    TestSocket socket = store_.Accept();
    EXPECT_TRUE(socket.ReadHttp().starts_with("PUT /v1/kv/k?cas=3 "));
  }

  TestListener store_;
  IoThread thread_;
  Collector<model::StoreResult> results_;
  std::unique_ptr<StoreClient> client_;
};

TEST_F(StoreClientTest, LostAnswerIsUnknownAndTheRequestIsNotRetried) {
  WriteWithoutAnswer();
  const auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, StoreOutcome::kUnknown);
  // The next connection must carry the next request, not the first one again.
  ASSERT_TRUE(client_->Send({2, StoreOperation::kRead, "next", {}, 0, {}}));
  EXPECT_TRUE(store_.Accept().ReadHttp().starts_with("GET /v1/kv/next "));
}

TEST_F(StoreClientTest, TimeoutIsUnknownAndClosesTheConnection) {
  Open(std::chrono::milliseconds(50));
  ASSERT_TRUE(client_->Send({1, StoreOperation::kRead, "k", {}, 0, {}}));
  TestSocket socket = store_.Accept();
  const auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, StoreOutcome::kUnknown);
  EXPECT_TRUE(socket.ReadAll().starts_with("GET "));
}

TEST_F(StoreClientTest, ReadsRawBytesAndReusesTheConnection) {
  ASSERT_TRUE(client_->Send({1, StoreOperation::kRead, "k", {}, 0, {}}));
  TestSocket socket = store_.Accept();
  socket.ReadHttp();
  socket.Write(
      Answer("200 OK", R"([{"Key":"k","Value":"AP/+DQo=","ModifyIndex":9}])"));
  auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, StoreOutcome::kOk);
  EXPECT_EQ(results[0].value, std::string("\0\xff\xfe\r\n", 5));
  EXPECT_EQ(results[0].revision, 9U);
  ASSERT_TRUE(client_->Send({2, StoreOperation::kRead, "k", {}, 0, {}}));
  socket.ReadHttp();
  socket.Write(Answer("404 Not Found", ""));
  results = results_.Wait(2);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[1].outcome, StoreOutcome::kAbsent);
}

// Guards against a compare-and-swap or a watch with a rounded revision.
TEST_F(StoreClientTest, RevisionsAreExact) {
  ASSERT_TRUE(client_->Send({1, StoreOperation::kRead, "k", {}, 0, {}}));
  TestSocket socket = store_.Accept();
  socket.ReadHttp();
  socket.Write(
      Answer("200 OK",
             R"([{"Key":"k","Value":"","ModifyIndex":18446744073709551615}])"));
  const auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].revision, 18446744073709551615U);
  ASSERT_TRUE(client_->Send(
      {2, StoreOperation::kCompareAndSwap, "k", "v", results[0].revision, {}}));
  EXPECT_TRUE(
      socket.ReadHttp().starts_with("PUT /v1/kv/k?cas=18446744073709551615 "));
}

TEST_F(StoreClientTest, PendingWatchDoesNotDelayWrites) {
  ASSERT_TRUE(client_->Send({1,
                             StoreOperation::kWatch,
                             "k",
                             {},
                             5,
                             std::chrono::milliseconds(10'000)}));
  TestSocket watch = store_.Accept();
  EXPECT_TRUE(
      watch.ReadHttp().starts_with("GET /v1/kv/k?index=5&wait=10000ms "));
  ASSERT_TRUE(
      client_->Send({2, StoreOperation::kCompareAndSwap, "k", "v", 5, {}}));
  TestSocket write = store_.Accept();
  write.ReadHttp();
  write.Write(Answer("200 OK", "false"));
  const auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].id, 2U);
  EXPECT_EQ(results[0].outcome, StoreOutcome::kConflict);
}

TEST(HostListClientTest, KeepsLeavingEntriesAndReportsFailure) {
  TestListener platform;
  IoThread thread;
  Collector<std::optional<model::HostList>> lists;
  HostListClient client(thread, {platform.address(), kConditionLimit},
                        [&](auto list) { lists.Add(std::move(list)); });
  client.Read();
  TestSocket socket = platform.Accept();
  socket.ReadHttp();
  socket.Write(
      Answer("200 OK",
             R"([{"Node":"a","Meta":{"kind":"host","state":"live"}},)"
             R"({"Node":"b","Meta":{"kind":"upstream","state":"leaving"}}])"));
  ASSERT_EQ(lists.Wait(1).size(), 1U);
  client.Read();
  socket.ReadHttp();
  socket.Close();
  const auto all = lists.Wait(2);
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all[0], (model::HostList{42, {{"b", true}}}));
  EXPECT_EQ(all[1], std::nullopt);
}

/// An answer that never ends: its beginning, and what follows again and again.
struct EndlessAnswer {
  std::string name;
  std::string head;
  std::string piece;
};

class EndlessAnswerTest : public StoreClientTest,
                          public testing::WithParamInterface<EndlessAnswer> {};

// Guards against a peer that uses up the memory of the process with bytes that
// it sends until the connection is closed (issue 50).
TEST_P(EndlessAnswerTest, IsGivenUpWithinTheLimitOfAnAnswer) {
  constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
  // The limit of an answer, and what the buffers of both sockets may hold.
  constexpr std::size_t max_bytes = std::size_t{32} * 1024 * 1024;
  Open(kConditionLimit);
  ASSERT_TRUE(client_->Send({1, StoreOperation::kRead, "k", {}, 0, {}}));
  TestSocket socket = store_.Accept();
  socket.ReadHttp();
  std::string pieces;
  while (pieces.size() < piece_bytes) pieces += GetParam().piece;
  std::size_t sent = 0;
  bool open = socket.Write(GetParam().head);
  while (open && sent < max_bytes) {
    open = socket.Write(pieces);
    sent += pieces.size();
  }
  EXPECT_LT(sent, max_bytes);
  const auto results = results_.Wait(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, StoreOutcome::kUnknown);
}

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers, EndlessAnswerTest,
    testing::Values(
        EndlessAnswer{"StatusLine", "HTTP/1.1 200 ", "x"},
        EndlessAnswer{"Field", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
        EndlessAnswer{"Fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        EndlessAnswer{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        EndlessAnswer{"BodyOfHugeLength",
                      "HTTP/1.1 200 OK\r\nContent-Length: 100000000000000"
                      "\r\n\r\n",
                      "x"},
        EndlessAnswer{"Chunks", kChunked, "3\r\nabc\r\n"},
        EndlessAnswer{"ChunkExtension", std::string(kChunked) + "3;", "a=b;"},
        EndlessAnswer{"ChunkExtensions", kChunked, "3;a=b;c=d;e=f\r\nabc\r\n"},
        EndlessAnswer{"Trailer", std::string(kChunked) + "0\r\n", "X-A: b\r\n"},
        EndlessAnswer{"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessAnswer{"NoHttp", "", "no HTTP at all "}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace berylreach::transport
