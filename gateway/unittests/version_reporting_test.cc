// Tests of the delivery of version reports: guards against evidence that no
// arbiter gets.
#include "berylreach/gateway/version_reporting.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/shift_controller.h"
#include "berylreach/gateway/version_report_codec.h"
#include "gateway_fixture.h"

namespace berylreach::gateway {
namespace {

/// A host without calls under a shift that is complete but for its report.
class VersionReportingTest : public testing::Test {
 protected:
  VersionReportingTest()
      : reporting_(clock_, "h0", {},
                   [this](const std::string& host, const std::string& body) {
                     sent_.push_back({host, body});
                     return std::optional<forward::CallId>(sent_.size());
                   }) {
    for (int i = 0; i < 6; ++i) hosts_.push_back("h" + std::to_string(i));
    reporting_.SetHosts(hosts_);
    ranked_ = forward::RankArbiters("s", hosts_);
    std::erase(ranked_, "h0");
  }

  /// Puts a shift in force of which each host reports once.
  void StartFullShift() {
    reporting_.shifts().ApplyOrder(
        "s",
        forward::VersionShiftOrder{"s", "v2", std::chrono::milliseconds(9000)},
        forward::RecordSource::kChange);
    reporting_.shifts().ApplyStatus(
        "s", forward::VersionShiftStatus{.service = "s",
                                         .stage = forward::ShiftStage::kFull,
                                         .target_version = "v2",
                                         .order = {.era = 1, .revision = 2},
                                         .step = 3});
  }

  void RunFor(std::chrono::milliseconds duration) {
    for (std::chrono::milliseconds run{0}; run < duration;
         run += std::chrono::milliseconds(100)) {
      clock_.Advance(std::chrono::milliseconds(100));
      reporting_.Tick();
    }
  }

  /// Answers the `index`th message.
  void Answer(std::size_t index, bool accepted) {
    HttpResponse response;
    response.status = 200;
    response.body =
        FormatVersionReportAnswer({.service = "s",
                                   .accepted = accepted,
                                   .order = {.era = 1, .revision = 2},
                                   .step = 3});
    EXPECT_TRUE(reporting_.OnCallDone(index + 1, response));
  }

  struct Message {
    std::string host;
    std::string body;
  };

  base::ManualClock clock_;
  std::vector<Message> sent_;
  VersionReporting reporting_;
  std::vector<std::string> hosts_;
  /// The other hosts by rank.
  std::vector<std::string> ranked_;
};

// Guards against messages, lines and metrics in deployments without orders.
TEST_F(VersionReportingTest, DoesNothingWithoutOrders) {
  RunFor(std::chrono::seconds(5));
  EXPECT_TRUE(sent_.empty());
  std::string metrics;
  reporting_.AppendTo(metrics);
  EXPECT_EQ(metrics, "");
  EXPECT_FALSE(reporting_.OnCallDone(1, forward::CallFailure::kTimedOut));
}

TEST_F(VersionReportingTest, ReportsToTheFirstTwoByRank) {
  StartFullShift();
  RunFor(std::chrono::milliseconds(1000));
  ASSERT_GE(sent_.size(), 2U);
  EXPECT_EQ(sent_[0].host, ranked_[0]);
  EXPECT_EQ(sent_[1].host, ranked_[1]);
  const auto report = ParseVersionReport(sent_[0].body);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->host, "h0");
  EXPECT_EQ(report->step, 3U);
  std::string metrics;
  reporting_.AppendTo(metrics);
  EXPECT_NE(metrics.find("berylreach_version_shift_step{service=\"s\","
                         "target=\"v2\",state=\"running\",stage=\"full\""),
            std::string::npos)
      << metrics;
}

// Guards against reports that end at a dead arbiter, or at one that does not
// reach the store.
TEST_F(VersionReportingTest, AsksTheNextHostIfOneDoesNotAccept) {
  StartFullShift();
  RunFor(std::chrono::milliseconds(500));
  ASSERT_GE(sent_.size(), 2U);
  sent_.resize(2);
  EXPECT_TRUE(reporting_.OnCallDone(1, forward::CallFailure::kTimedOut));
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_EQ(sent_[2].host, ranked_[2]);
  Answer(1, /*accepted=*/false);
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_EQ(sent_[3].host, ranked_[3]);
  Answer(2, /*accepted=*/true);
  Answer(3, /*accepted=*/true);
  EXPECT_EQ(sent_.size(), 4U);
}

TEST_F(VersionReportingTest, MalformedReportsChangeNothing) {
  int judged = 0;
  reporting_.SetArbiter([&judged](const forward::VersionShiftReport& report) {
    ++judged;
    return forward::VersionReportAnswer{.service = report.service,
                                        .accepted = true};
  });
  EXPECT_EQ(reporting_.OnReport("{}"), std::nullopt);
  EXPECT_EQ(judged, 0);
  const auto answer =
      reporting_.OnReport(FormatVersionReport({.host = "h1", .service = "s"}));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(ParseVersionReportAnswer(*answer)->accepted);
  EXPECT_EQ(judged, 1);
}

class VersionReportGatewayTest : public GatewayFixture {};

// Guards against reports that another host cannot deliver, and against a
// malformed one that ends the connection or the process.
TEST_F(VersionReportGatewayTest, AnswersReportsOfOtherHosts) {
  const auto gateway = MakeGateway("near", "a");
  Load(*gateway);
  gateway->version_reporting().SetArbiter(
      [](const forward::VersionShiftReport& report) {
        return forward::VersionReportAnswer{.service = report.service,
                                            .accepted = true,
                                            .order = {},
                                            .step = report.step + 1};
      });
  RawClient client(io_, peers_["near"]);
  const auto send = [&client](const std::string& body) {
    client.Send(
        "POST /berylreach/version-report HTTP/1.1\r\nX-Id: r1\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  send("{\"host\":1}");
  EXPECT_TRUE(client.Expect("HTTP/1.1 400"));
  send(FormatVersionReport({.host = "far", .service = "o", .step = 4}));
  EXPECT_TRUE(client.Expect("\"accepted\":true"));
  EXPECT_TRUE(client.Expect("\"step\":5"));
}

// Guards against calls of one host that the counts of its shift do not contain.
TEST_F(VersionReportGatewayTest, CountsTheCallsOfAServiceUnderAShift) {
  const auto gateway = MakeGateway("near", "a");
  Load(*gateway);
  gateway->version_reporting().shifts().ApplyOrder(
      "o",
      forward::VersionShiftOrder{"o", "v2", std::chrono::milliseconds(60000)},
      forward::RecordSource::kChange);
  gateway->version_reporting().shifts().ApplyStatus(
      "o", forward::VersionShiftStatus{.service = "o",
                                       .target_version = "v2",
                                       .order = {.era = 1, .revision = 2},
                                       .step = 1});
  leaves_["o"].response = Response(500, "X-Sig: sigo\r\n", "failed");
  RawClient client(io_, callers_["near"]);
  client.Send(
      "POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Wait: 9000\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(client.Expect("HTTP/1.1 500"));
  const auto gauges = gateway->version_reporting().shifts().Gauges();
  ASSERT_EQ(gauges.size(), 1U);
  EXPECT_EQ(gauges[0].other_calls_sent, 1U);
  EXPECT_EQ(gauges[0].others.calls, 1U);
  EXPECT_EQ(gauges[0].others.failed, 1U);
}

}  // namespace
}  // namespace berylreach::gateway
