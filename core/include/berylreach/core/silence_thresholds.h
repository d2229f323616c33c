// The silence thresholds of the services whose leaves this host owns.
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

/// Measures leaf calls and reports changed thresholds as SetSilenceThreshold.
class SilenceThresholds {
 public:
  SilenceThresholds(const base::Clock& clock, Outbox& outbox)
      : clock_(clock), outbox_(outbox) {}

  /// A call of `service` that was handed to the upstream client at
  /// `started_at` has ended.
  void OnResult(const model::ServiceName& service, base::TimePoint started_at,
                const model::UpstreamResult& result);

  /// Reports thresholds that have changed, at most once a second.
  void Tick();

  /// Drops services that the document no longer names.
  void Retain(const model::Environment& environment);

 private:
  struct Service {
    limits::SilenceThreshold threshold;
    /// What the upstream client was told last.
    std::chrono::milliseconds reported =
        limits::SilenceThreshold::kMinThreshold;
  };

  const base::Clock& clock_;
  Outbox& outbox_;
  std::unordered_map<model::ServiceName, Service> services_;
  base::TimePoint next_report_ = base::TimePoint::min();
};

}  // namespace berylreach::core
