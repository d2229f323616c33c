// Guards against calls that are written twice, written too late, completed with
// the answer to another call, or reported as not run although they may have
// run.
#include "berylreach/transport/upstream_client.h"

#include <gtest/gtest.h>

#include <string>

#include "berylreach/base/system_clock.h"
#include "collector.h"
#include "test_socket.h"

namespace berylreach::transport {
namespace {

using model::LeafOutcome;
using std::chrono::milliseconds;

constexpr char kOldIncarnation[] = "00000000000000aa";
constexpr char kNewIncarnation[] = "00000000000000bb";

std::string Http(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string StatusAnswer(const std::string& incarnation) {
  return Http(200, R"({"leaf":"l1","incarnation":")" + incarnation +
                       R"(","state":"live","holdings":[]})");
}

std::string CallAnswer(std::uint64_t counter, int shard = 3, int version = 7) {
  return Http(200, R"({"request_id":")" + ToString(model::CallId{1, counter}) +
                       R"(","leaf":"l1","incarnation":")" + kOldIncarnation +
                       R"(","shard":)" + std::to_string(shard) +
                       R"(,"shard_count":20,"version":)" +
                       std::to_string(version) +
                       R"(,"result":{"x":1},"holdings":)"
                       R"([{"version":7,"shard":3,"shard_count":20}]})");
}

class UpstreamClientTest : public testing::Test, public UpstreamHandler {
 protected:
  UpstreamClientTest() {
    UpstreamOptions options;
    options.silence_threshold = std::chrono::seconds(60);
    options.probe_timeout = std::chrono::seconds(10);
    Open(options);
  }

  void Open(const UpstreamOptions& options) {
    client_ = std::make_unique<UpstreamClient>(thread_, clock_, options, *this);
  }

  void OnResult(model::UpstreamResult result) override {
    results_.Add(std::move(result));
  }
  void OnStatus(model::LeafStatus status) override {
    statuses_.Add(std::move(status));
  }

  model::UpstreamCall Call(
      std::uint64_t counter,
      model::RequestKind kind = model::RequestKind::kQuery) const {
    model::UpstreamCall call;
    call.id = {1, counter};
    call.leaf = {"l1"};
    call.address = leaf_.address();
    call.max_connections = 4;
    call.service = {"finder"};
    call.kind = kind;
    call.shard = 3;
    call.version = 7;
    call.payload = R"({"q":"cork"})";
    call.not_after = clock_.Now() + kConditionLimit;
    call.deadline = clock_.WallNow() + kConditionLimit;
    return call;
  }

  /// Waits for the result with this index, counted from 0.
  model::UpstreamResult Result(std::size_t index) {
    const auto results = results_.Wait(index + 1);
    EXPECT_GT(results.size(), index);
    return results.size() > index ? results[index] : model::UpstreamResult{};
  }

  /// Completes call 1 on a new connection, which stays open.
  TestSocket RunFirstCall() {
    client_->Send(Call(1));
    TestSocket socket = leaf_.Accept();
    socket.ReadHttp();
    socket.Write(CallAnswer(1));
    EXPECT_EQ(Result(0).outcome, LeafOutcome::kOk);
    return socket;
  }

  /// Answers a probe on a new connection, which stays open.
  TestSocket AnswerProbe(const std::string& incarnation) const {
    TestSocket probe = leaf_.Accept();
    EXPECT_TRUE(probe.ReadHttp().starts_with("GET /v1/status "));
    probe.Write(StatusAnswer(incarnation));
    return probe;
  }

  base::SystemClock clock_;
  TestListener leaf_;
  IoThread thread_;
  Collector<model::UpstreamResult> results_;
  Collector<model::LeafStatus> statuses_;
  std::unique_ptr<UpstreamClient> client_;
};

TEST_F(UpstreamClientTest, DeliversAnAnswerAndReusesTheConnection) {
  TestSocket socket = RunFirstCall();
  const auto result = Result(0);
  EXPECT_EQ(result.version, 7U);
  EXPECT_EQ(result.shard_count, 20U);
  EXPECT_EQ(result.result, R"({"x":1})");
  EXPECT_EQ(result.incarnation, 0xaaU);
  EXPECT_EQ(result.holdings, (std::vector<model::Holding>{{7, 3, 20}}));
  client_->Send(Call(2));
  EXPECT_NE(socket.ReadHttp().find(ToString(model::CallId{1, 2})),
            std::string::npos);
}

TEST_F(UpstreamClientTest, RefusedConnectionIsReportedAsNotSent) {
  const auto call = Call(1);
  leaf_.Close();
  client_->Send(call);
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kNotSent);
  EXPECT_TRUE(Result(0).connect_failed);
}

TEST_F(UpstreamClientTest, CallAfterItsNotAfterTimeIsNotWritten) {
  TestSocket socket = RunFirstCall();
  auto late = Call(2);
  late.not_after = clock_.Now() - milliseconds(1);
  client_->Send(late);
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kNotSent);
  EXPECT_FALSE(Result(1).connect_failed);
  client_->Send(Call(3));
  EXPECT_NE(socket.ReadHttp().find(ToString(model::CallId{1, 3})),
            std::string::npos);
}

TEST_F(UpstreamClientTest, ResetAfterWriteWithTheSameIncarnationIsLost) {
  RunFirstCall().Close();
  client_->Send(Call(2, model::RequestKind::kOrder));
  TestSocket socket = AnswerProbe(kOldIncarnation);
  socket.ReadHttp();
  socket.Close(true);
  const TestSocket probe = AnswerProbe(kOldIncarnation);
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kLost);
}

TEST_F(UpstreamClientTest, ResetAfterWriteWithANewIncarnationIsACrash) {
  RunFirstCall().Close();
  client_->Send(Call(2));
  TestSocket socket = AnswerProbe(kOldIncarnation);
  socket.ReadHttp();
  socket.Close(true);
  const TestSocket probe = AnswerProbe(kNewIncarnation);
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kLeafCrashed);
}

TEST_F(UpstreamClientTest, ResetAfterWriteAndRefusedProbeIsACrash) {
  client_->Send(Call(1));
  TestSocket socket = leaf_.Accept();
  socket.ReadHttp();
  leaf_.Close();
  socket.Close(true);
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kLeafCrashed);
}

TEST_F(UpstreamClientTest, AnswersThatDoNotMatchTheCallAreReportedAsLost) {
  const std::string answers[] = {CallAnswer(99), CallAnswer(2, 4),
                                 CallAnswer(3, 3, 8), Http(200, "garbage")};
  for (std::uint64_t i = 0; i < std::size(answers); ++i) {
    client_->Send(Call(i + 1));
    TestSocket socket = leaf_.Accept();
    socket.ReadHttp();
    socket.Write(answers[i]);
    EXPECT_EQ(Result(i).outcome, LeafOutcome::kLost);
    EXPECT_EQ(Result(i).id, (model::CallId{1, i + 1}));
    // The connection must be closed, so that the late answer to this call
    // cannot be read as the answer to another.
    EXPECT_EQ(socket.ReadAll(), "");
    EXPECT_TRUE(socket.peer_closed());
  }
}

// Guards against answers with missing, invalid or repeated members that are
// counted as covered shards or as proof that the call did not run.
TEST_F(UpstreamClientTest, InvalidAnswersAreReportedAsLost) {
  const auto with = [](int status, const std::string& fields) {
    return Http(status, R"({"request_id":")" + ToString(model::CallId{1, 1}) +
                            "\"," + fields + "}");
  };
  const std::string ok =
      R"("leaf":"l1","incarnation":"00000000000000aa","shard":3,)"
      R"("shard_count":20,"version":7,"result":1)";
  const std::string answers[] = {
      with(200, ok),
      with(200, ok + R"(,"holdings":[{"version":7,"shard":20,)"
                     R"("shard_count":20}])"),
      with(200, ok + R"(,"holdings":[],"version":7)"),
      with(409, R"("error":"version_gone")"),
      with(503, R"("error":"unheard of","not_run":true)"),
      with(503, R"("error":"shedding","not_run":true,"retry_after_ms":-1)"),
      with(503, R"("error":"shedding","not_run":true,"not_run":true)")};
  for (std::uint64_t i = 0; i < std::size(answers); ++i) {
    client_->Send(Call(1));
    TestSocket socket = leaf_.Accept();
    socket.ReadHttp();
    socket.Write(answers[i]);
    EXPECT_EQ(Result(i).outcome, LeafOutcome::kLost) << answers[i];
    EXPECT_FALSE(Result(i).call_ended);
    EXPECT_EQ(socket.ReadAll(), "");
  }
}

TEST_F(UpstreamClientTest, OrderOnAStaleConnectionIsWrittenOnce) {
  RunFirstCall().Close();
  client_->Send(Call(2, model::RequestKind::kOrder));
  TestSocket socket = AnswerProbe(kOldIncarnation);
  EXPECT_NE(socket.ReadHttp().find(R"("kind":"order")"), std::string::npos);
  socket.Write(CallAnswer(2));
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kOk);
}

// Guards against overload of a leaf whose restart was not noticed. The new
// process is cold, but the queued calls were admitted under the limit of the
// previous, warm process.
TEST_F(UpstreamClientTest, QueuedCallsAreNotSentToARestartedLeaf) {
  RunFirstCall().Close();
  client_->Send(Call(2));
  client_->Send(Call(3));
  const TestSocket probe = AnswerProbe(kNewIncarnation);
  for (const std::size_t index : {1, 2}) {
    EXPECT_EQ(Result(index).outcome, LeafOutcome::kNotSent);
    EXPECT_TRUE(Result(index).connect_failed);
  }
}

TEST_F(UpstreamClientTest, OrderOnAClosedConnectionIsNotRetried) {
  TestSocket socket = RunFirstCall();
  client_->Send(Call(2, model::RequestKind::kOrder));
  socket.ReadHttp();
  socket.Close();
  // The next connection must carry the probe and not the order.
  const TestSocket probe = AnswerProbe(kOldIncarnation);
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kLost);
}

TEST_F(UpstreamClientTest, UnresponsiveConnectionIsProbedAndClosed) {
  UpstreamOptions options;
  options.silence_threshold = milliseconds(30);
  options.probe_timeout = std::chrono::seconds(10);
  Open(options);
  client_->Send(Call(1));
  TestSocket unanswered = leaf_.Accept();
  unanswered.ReadHttp();
  TestSocket probe = leaf_.Accept();
  EXPECT_TRUE(probe.ReadHttp().starts_with("GET /v1/status "));
  probe.Write(StatusAnswer(kOldIncarnation));
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kLost);
  EXPECT_EQ(unanswered.ReadAll(), "");
  EXPECT_TRUE(unanswered.peer_closed());
}

// Guards against closing the connections of a slow service because its calls
// are probed after the much shorter threshold of another service on the same
// thread.
TEST_F(UpstreamClientTest, SilenceThresholdAppliesOnlyToItsService) {
  UpstreamOptions options;
  options.silence_threshold = milliseconds(30);
  options.probe_timeout = std::chrono::seconds(10);
  Open(options);
  client_->SetSilenceThreshold({"slow"}, std::chrono::seconds(60));
  auto slow = Call(1);
  slow.service = {"slow"};
  client_->Send(slow);
  TestSocket waiting = leaf_.Accept();
  waiting.ReadHttp();
  // This call is written later than the slow one. If both had the same
  // threshold, the slow call would be probed first.
  client_->Send(Call(2));
  TestSocket unanswered = leaf_.Accept();
  unanswered.ReadHttp();
  const TestSocket probe = AnswerProbe(kOldIncarnation);
  EXPECT_EQ(Result(0).id, (model::CallId{1, 2}));
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kLost);
  waiting.Write(CallAnswer(1));
  EXPECT_EQ(Result(1).id, slow.id);
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kOk);
}

TEST_F(UpstreamClientTest, UnansweredCallTimesOutAndIsCancelled) {
  auto call = Call(1);
  call.deadline = clock_.WallNow() + milliseconds(50);
  client_->Send(call);
  TestSocket socket = leaf_.Accept();
  socket.ReadHttp();
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kTimedOut);
  TestSocket cancellation = leaf_.Accept();
  EXPECT_TRUE(cancellation.ReadHttp().starts_with("POST /v1/cancel "));
}

TEST_F(UpstreamClientTest, CancelNotifiesTheLeafAndDropsAQueuedCall) {
  auto first = Call(1);
  first.max_connections = 2;
  client_->Send(first);
  TestSocket socket = leaf_.Accept();
  socket.ReadHttp();
  client_->Cancel(first.id);
  TestSocket cancellation = leaf_.Accept();
  EXPECT_NE(cancellation.ReadHttp().find(ToString(first.id)),
            std::string::npos);
  // Both connections are in use now, so the second call is queued.
  auto second = Call(2);
  second.max_connections = 2;
  client_->Send(second);
  client_->Cancel(second.id);
  EXPECT_EQ(Result(0).id, second.id);
  EXPECT_EQ(Result(0).outcome, LeafOutcome::kNotSent);
  socket.Write(Http(503, R"({"error":"cancelled","request_id":")" +
                             ToString(first.id) + R"("})"));
  EXPECT_EQ(Result(1).outcome, LeafOutcome::kLost);
  EXPECT_TRUE(Result(1).call_ended);
}

TEST_F(UpstreamClientTest, RefusalsWithNotRunAreDistinguishedFromOthers) {
  TestSocket socket = RunFirstCall();
  const auto refuse = [&](std::uint64_t counter, int status,
                          const std::string& fields) {
    client_->Send(Call(counter));
    socket.ReadHttp();
    socket.Write(Http(status, R"({"request_id":")" +
                                  ToString(model::CallId{1, counter}) + "\"," +
                                  fields + "}"));
    return Result(counter - 1);
  };
  const auto shed = refuse(
      2, 503, R"("error":"shedding","not_run":true,"retry_after_ms":30)");
  EXPECT_EQ(shed.outcome, LeafOutcome::kShed);
  EXPECT_EQ(shed.retry_after, milliseconds(30));
  EXPECT_EQ(refuse(3, 503, R"("error":"draining","not_run":true)").outcome,
            LeafOutcome::kDraining);
  EXPECT_EQ(refuse(4, 503, R"("error":"shedding")").outcome,
            LeafOutcome::kLost);
  EXPECT_EQ(refuse(5, 409, R"("error":"version_gone","holdings":[])").outcome,
            LeafOutcome::kVersionGone);
}

TEST_F(UpstreamClientTest, ReadsStatusOfOwnedLeavesAtOnceAndPeriodically) {
  UpstreamOptions options;
  options.status_interval = milliseconds(20);
  Open(options);
  client_->SetOwnedLeaves({{{"l1"}, leaf_.address(), 4}});
  TestSocket socket = leaf_.Accept();
  for (std::size_t i = 1; i <= 2; ++i) {
    EXPECT_TRUE(socket.ReadHttp().starts_with("GET /v1/status "));
    socket.Write(StatusAnswer(kOldIncarnation));
    const auto statuses = statuses_.Wait(i);
    ASSERT_GE(statuses.size(), i);
    EXPECT_TRUE(statuses[i - 1].reachable);
    EXPECT_EQ(statuses[i - 1].incarnation, 0xaaU);
  }
  leaf_.Close();
  socket.Close();
  EXPECT_TRUE(statuses_.WaitAny([](const model::LeafStatus& status) {
    return status.connection_refused;
  }));
}

// Guards against a restarted leaf that gets no calls until the next regular
// status read.
TEST_F(UpstreamClientTest, ReadsStatusOfADownLeafMoreOften) {
  UpstreamOptions options;
  options.status_interval = std::chrono::hours(1);
  options.down_status_interval = milliseconds(20);
  Open(options);
  const std::string address = leaf_.address();
  leaf_.Close();
  client_->SetOwnedLeaves({{{"l1"}, address, 4}});
  const auto statuses = statuses_.Wait(3);
  ASSERT_GE(statuses.size(), 3U);
  for (const model::LeafStatus& status : statuses) {
    EXPECT_TRUE(status.connection_refused);
  }
}

}  // namespace
}  // namespace berylreach::transport
