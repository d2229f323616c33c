// Latency metrics of requests by route and outcome, and of leaf calls.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/host/latency_summary.h"

namespace berylreach::gateway {

/// Outcome of a request: a complete or partial answer, a refusal, or a failure.
enum class RequestOutcome { kWhole, kPartial, kRefused, kFailed };

/// Latencies since the start of the process. The number of label sets is
/// bounded; once the bound is reached, new routes count under the label
/// "other". Not thread-safe.
class RequestMetrics {
 public:
  void OnRequest(const std::string& route, RequestOutcome outcome,
                 base::Duration latency);
  /// Records the latency of a call that a leaf answered.
  void OnLeafAnswer(base::Duration latency);

  /// Appends the metrics in the Prometheus text exposition format.
  void AppendTo(std::string& text) const;

 private:
  std::map<std::pair<std::string, RequestOutcome>, host::LatencySummary>
      requests_;
  host::LatencySummary leaf_answers_;
};

}  // namespace berylreach::gateway
