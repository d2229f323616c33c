// Tests of the latency metrics by route and outcome.
#include "berylreach/gateway/request_metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;

std::string TextOf(const RequestMetrics& metrics) {
  std::string text;
  metrics.AppendTo(text);
  return text;
}

TEST(RequestMetricsTest, CountsByRouteAndOutcome) {
  RequestMetrics metrics;
  metrics.OnRequest("search", RequestOutcome::kWhole, milliseconds(80));
  metrics.OnRequest("search", RequestOutcome::kWhole, milliseconds(120));
  metrics.OnRequest("search", RequestOutcome::kRefused, milliseconds(1));
  metrics.OnLeafAnswer(milliseconds(9));
  const std::string text = TextOf(metrics);
  EXPECT_THAT(text, HasSubstr("berylreach_request_seconds_count{route="
                              "\"search\",outcome=\"whole\"} 2"));
  EXPECT_THAT(text, HasSubstr("outcome=\"refused\"} 1"));
  EXPECT_THAT(text, HasSubstr("berylreach_leaf_answer_seconds_count 1"));
}

// Guards against metrics that grow without bound as routes are added.
TEST(RequestMetricsTest, NumberOfRoutesIsBounded) {
  RequestMetrics metrics;
  for (int i = 0; i < 2000; ++i) {
    metrics.OnRequest("r" + std::to_string(i), RequestOutcome::kWhole,
                      milliseconds(1));
  }
  EXPECT_LT(TextOf(metrics).size(), 200'000U);
  EXPECT_THAT(TextOf(metrics), HasSubstr("route=\"other\""));
}

// Guards against a route name that makes the text of all metrics unparsable.
TEST(RequestMetricsTest, LabelsAreEscaped) {
  RequestMetrics metrics;
  metrics.OnRequest("a\"b\\\n", RequestOutcome::kFailed, milliseconds(1));
  EXPECT_THAT(TextOf(metrics), HasSubstr(R"(route="a\"b\\\n")"));
}

}  // namespace
}  // namespace berylreach::gateway
