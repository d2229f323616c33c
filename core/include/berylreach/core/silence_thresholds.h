// Silence thresholds of the services whose leaves this host owns.
#pragma once

#include <chrono>
#include <unordered_map>

#include "berylreach/base/clock.h"
#include "berylreach/core/outbox.h"
#include "berylreach/limits/silence_threshold.h"
#include "berylreach/model/environment.h"
#include "berylreach/model/names.h"
#include "berylreach/model/upstream_result.h"

namespace berylreach::core {

/// Derives the silence threshold of each service from the latencies of its leaf
/// calls, and reports changes to the upstream client by SetSilenceThreshold.
class SilenceThresholds {
 public:
  SilenceThresholds(const base::Clock& clock, Outbox& outbox)
      : clock_(clock), outbox_(outbox) {}

  /// Records the end of a call of `service` that was passed to the upstream
  /// client at `started_at`.
  void OnResult(const model::ServiceName& service, base::TimePoint started_at,
                const model::UpstreamResult& result);

  /// Reports the thresholds that have changed, at most once per second.
  void Tick();

  /// Drops services that are not in `environment` and resets their thresholds
  /// in the upstream client.
  void Retain(const model::Environment& environment);

 private:
  struct Service {
    limits::SilenceThreshold threshold;
    /// Threshold last reported to the upstream client.
    std::chrono::milliseconds reported =
        limits::SilenceThreshold::kMinThreshold;
  };

  const base::Clock& clock_;
  Outbox& outbox_;
  std::unordered_map<model::ServiceName, Service> services_;
  base::TimePoint next_report_ = base::TimePoint::min();
};

}  // namespace berylreach::core
