// Tests the check of the status of the responses that hosts read: from leaves,
// other hosts, health checks, the store and feeds.
#include <gtest/gtest.h>

#include <optional>

#include "berylreach/gateway/gateway.h"
#include "berylreach/gateway/http_client.h"
#include "gateway_fixture.h"

namespace berylreach::gateway {
namespace {

/// Statuses that are no status, or that no host has asked for.
const std::vector<std::string> kInvalid = {"000", "099", "101",  "600", "999",
                                           "abc", "2x0", "2000", "20",  ""};
const std::vector<std::string> kInterim = {"100", "102", "103"};

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\nX-Sig: s\r\nContent-Length: 2\r\n\r\nno";
}
std::string Interim(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\n\r\n";
}

class StatusLineTest : public GatewayFixture {
 protected:
  /// Sends one call through a pool of connections, as for leaves, other hosts
  /// and health checks, and returns its result.
  LeafConnections::Result CallPeer(const std::string& response) {
    TestServer server(io_, clock_,
                      [&](ServerConnection& connection, const HttpRequest&) {
                        connection.Respond(response, true);
                      });
    std::optional<LeafConnections::Result> result;
    LeafConnections connections(
        io_, clock_, "X-Id",
        [&](forward::CallId, LeafConnections::Result done) {
          result = std::move(done);
        });
    const forward::LeafRecord peer(
        {.id = "l", .service = "s", .address = server.address()},
        forward::Distance::kSameZone, "r", clock_.Now());
    connections.Start(peer, {.id = 1,
                             .request_id = "r1",
                             .bytes = "GET / HTTP/1.1\r\n\r\n",
                             .max_connections = 1,
                             .deadline = clock_.Now() + kWaitLimit});
    EXPECT_TRUE(RunFor(milliseconds(2000), [&] { return result.has_value(); }));
    return result.value_or(forward::CallFailure::kNotSent);
  }

  /// Sends a request as to the store and to feeds.
  HttpAnswer CallStore(const std::string& response) {
    TestServer server(io_, clock_,
                      [&](ServerConnection& connection, const HttpRequest&) {
                        connection.Respond(response, true);
                      });
    std::optional<HttpAnswer> answer;
    HttpClient client(io_, clock_, kMaxRecordsResponseBytes);
    client.Call(server.address(), "GET", "/", "", kWaitLimit,
                [&](HttpAnswer done) { answer = std::move(done); });
    EXPECT_TRUE(RunFor(milliseconds(2000), [&] { return answer.has_value(); }));
    return answer.value_or(HttpAnswer{.status = -1});
  }

  /// Runs the event loop until `done` returns true; false after `limit`, which
  /// is far below the deadlines of the calls.
  bool RunFor(milliseconds limit, const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + limit;
    return RunUntil(io_,
                    [&] {
                      return done() || std::chrono::steady_clock::now() >= end;
                    }) &&
           done();
  }
};

// Guards against a response without a valid status that is taken for an interim
// one, so that the call waits for its deadline, or that is passed on.
TEST_F(StatusLineTest, CallWithoutValidStatusIsBroken) {
  for (const std::string& status : kInvalid) {
    const auto result = CallPeer(WithStatus(status));
    const auto* failure = std::get_if<forward::CallFailure>(&result);
    ASSERT_NE(failure, nullptr) << status;
    EXPECT_EQ(*failure, forward::CallFailure::kMayHaveRun) << status;
  }
}

// Guards against the same in what the store or a feed answers.
TEST_F(StatusLineTest, AnswerOfTheStoreWithoutValidStatusIsBroken) {
  for (const std::string& status : kInvalid) {
    const HttpAnswer answer = CallStore(WithStatus(status));
    EXPECT_EQ(answer.status, 0) << status;
    EXPECT_EQ(answer.failure, ExchangeFailure::kBroken) << status;
  }
}

// Guards against an invalid status that is accepted after an interim response.
TEST_F(StatusLineTest, InvalidStatusAfterInterimResponseIsBroken) {
  const auto result = CallPeer(Interim("103") + WithStatus("000"));
  EXPECT_TRUE(std::holds_alternative<forward::CallFailure>(result));
}

// Guards against valid responses that are refused.
TEST_F(StatusLineTest, InterimAndFinalStatusesAreAccepted) {
  for (const std::string& status : kInterim) {
    for (const std::string final : {"200", "204", "421", "500", "599"}) {
      const std::string response =
          Interim(status) +
          (final == "204" ? Interim(final) : WithStatus(final));
      const auto result = CallPeer(response);
      const auto* answer = std::get_if<HttpResponse>(&result);
      ASSERT_NE(answer, nullptr) << status << " " << final;
      EXPECT_EQ(std::to_string(answer->status), final);
      EXPECT_EQ(std::to_string(CallStore(response).status), final);
    }
  }
}

// Guards against callers that get an invalid status, or no answer until the
// deadline, from a leaf in trouble.
TEST_F(StatusLineTest, CallerGetsA502InPlaceOfAnInvalidStatus) {
  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    leaves_["o"].response = WithStatus(status);
    const std::string name = "g" + status;
    const auto gateway = MakeGateway(name, "a");
    Load(*gateway);
    RawClient client(io_, callers_[name]);
    client.Send(Request("/o/1"));
    EXPECT_TRUE(RunFor(
        milliseconds(2000),
        [&client] { return client.received().starts_with("HTTP/1.1 502"); }))
        << status << client.received();
  }
}

// Guards against a group whose host answers with an invalid status being taken
// for run, or being waited for until the deadline.
TEST_F(StatusLineTest, GroupOfAnotherHostWithoutValidStatusFails) {
  std::string response;
  TestServer host(io_, clock_,
                  [&](ServerConnection& connection, const HttpRequest&) {
                    connection.Respond(response, true);
                  });
  for (const std::string status : {"000", "101", "600", "999"}) {
    response = WithStatus(status);
    const std::string name = "far" + status;
    const auto gateway = MakeGateway(name, "b");
    hosts_ = {{name, peers_[name], "b", 1}, {"near", host.address(), "a", 1}};
    Load(*gateway);
    RawClient client(io_, callers_[name]);
    client.Send(Request("/s/1"));
    EXPECT_TRUE(RunFor(
        milliseconds(2000),
        [&client] { return client.received().starts_with("HTTP/1.1 502"); }))
        << status << client.received();
  }
}

}  // namespace
}  // namespace berylreach::gateway
