// Observations of a leaf by this host.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::routing {

/// Observations of one leaf by this host. They only rank usable leaves; whether
/// a leaf is usable does not depend on them.
struct LeafObservation {
  /// Moving average of the latency of answered calls, including the time in the
  /// owner's queue; zero until the first answer.
  base::Duration recent_latency{0};
  /// Calls of this host that were sent and are neither answered, lost nor
  /// cancelled.
  std::uint32_t outstanding = 0;
  /// Calls of all hosts that are queued or running, as last reported by the
  /// owner.
  std::uint32_t reported_load = 0;
  base::TimePoint load_reported_at{};

  friend bool operator==(const LeafObservation&,
                         const LeafObservation&) = default;
};

}  // namespace berylreach::routing
