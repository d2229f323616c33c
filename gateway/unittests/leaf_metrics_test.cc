// Tests the metrics of the slowest leaves.
#include "berylreach/gateway/leaf_metrics.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "berylreach/base/manual_clock.h"
#include "berylreach/forward/latency_model.h"

namespace berylreach::gateway {
namespace {

using std::chrono::milliseconds;

// Guards against a label for each of thousands of leaves, and against slow
// leaves that are missing among them.
TEST(LeafMetricsTest, NamesTheFewSlowestLeaves) {
  base::ManualClock clock;
  clock.Advance(std::chrono::hours(1));
  forward::LeafDirectory directory(clock, {.zone = "a"});
  forward::LatencyModel model;
  const auto route = model.Of("r", "s");
  for (int i = 0; i < 20; ++i)
    directory.Put({.id = "l" + std::to_string(i), .service = "s", .zone = "a"});
  for (int call = 0; call < 10; ++call) {
    for (int i = 0; i < 20; ++i) {
      const auto leaf = directory.Find("l" + std::to_string(i));
      const base::TimePoint sent = clock.Now();
      leaf->OnCallSent(sent, route);
      leaf->OnCallEnded(sent, sent + milliseconds(i == 7 ? 80 : 10),
                        forward::CallOutcome::kAnswered);
    }
  }
  clock.Advance(milliseconds(500));
  std::string text;
  AppendSlowestLeaves(directory, clock.Now(), text);
  EXPECT_TRUE(text.starts_with(
      "berylreach_leaf_latency_factor{service=\"s\",leaf=\"l7\"} "))
      << text;
  EXPECT_NE(text.find("age_seconds{service=\"s\",leaf=\"l7\"} 0.4"),
            std::string::npos)
      << text;
  EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 10);
}

}  // namespace
}  // namespace berylreach::gateway
