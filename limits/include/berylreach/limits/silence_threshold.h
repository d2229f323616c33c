// Time after which a call without an answer causes a probe of its leaf.
#pragma once

#include <chrono>
#include <cstddef>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"

namespace berylreach::limits {

/// Derives the silence threshold of one service from the latencies of its leaf
/// calls (section 3.10 of docs/design.md). Not thread-safe.
class SilenceThreshold {
 public:
  /// The threshold of a service that answers fast or has too few samples.
  static constexpr std::chrono::milliseconds kMinThreshold{500};

  /// A leaf answered a call after `latency`. Cancelled calls must be reported
  /// too: their time is a lower bound of the latency, and slow calls, which are
  /// hedged and then cancelled, would otherwise be missing from the sample.
  void OnAnswer(base::Duration latency);

  /// A call ended without an answer after `elapsed`, which must be at least
  /// kMinThreshold.
  void OnUnansweredCall(base::Duration elapsed);

  /// Returns the larger of kMinThreshold and 3 times the 99th percentile of the
  /// latencies.
  std::chrono::milliseconds Value() const;

 private:
  base::QuantileWindow latencies_{512};
  std::size_t consecutive_unanswered_ = 0;
};

}  // namespace berylreach::limits
