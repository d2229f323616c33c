// When a call without an answer makes its connection suspect.
#pragma once

#include <chrono>
#include <cstddef>

#include "berylreach/base/clock.h"
#include "berylreach/base/quantile_window.h"

namespace berylreach::limits {

/// Derives the silence threshold of one service from the latencies of its leaf
/// calls (section 3.10 of the design page). Not thread-safe.
class SilenceThreshold {
 public:
  /// The threshold of a service that answers fast or is not known yet.
  static constexpr std::chrono::milliseconds kMinThreshold{500};

  /// A leaf answered a call after `latency`. A call that was cancelled counts
  /// too: its time is a lower bound, and without it slow calls, which are
  /// hedged and then cancelled, would be missing.
  void OnAnswer(base::Duration latency);

  /// A call ended without an answer after `elapsed`, at or above kMinThreshold.
  void OnSilence(base::Duration elapsed);

  /// The larger of kMinThreshold and 3 times the 99th percentile.
  std::chrono::milliseconds Value() const;

 private:
  base::QuantileWindow latencies_{512};
  std::size_t silences_in_row_ = 0;
};

}  // namespace berylreach::limits
