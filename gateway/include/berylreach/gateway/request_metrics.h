// Metrics of requests by route and outcome, and of leaf calls.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "berylreach/base/clock.h"
#include "berylreach/host/latency_summary.h"

namespace berylreach::gateway {

/// How a request ended.
enum class RequestOutcome { kWhole, kPartial, kRefused, kFailed };

/// Latencies since the start of the process. The number of routes with labels
/// of their own is bounded; further ones count as "other". Not thread-safe.
class RequestMetrics {
 public:
  void OnRequest(const std::string& route, RequestOutcome outcome,
                 base::Duration took);
  /// A leaf answered a call.
  void OnLeafAnswer(base::Duration took);

  /// Appends the metrics in the text exposition format.
  void AppendTo(std::string& text) const;

 private:
  std::map<std::pair<std::string, RequestOutcome>, host::LatencySummary>
      requests_;
  host::LatencySummary leaf_answers_;
};

}  // namespace berylreach::gateway
