// What this host itself has seen of a leaf.
#pragma once

#include <cstdint>

#include "berylreach/base/clock.h"

namespace berylreach::routing {

/// Local observations of one leaf; they only order usable leaves and never make
/// a leaf usable.
struct LeafObservation {
  /// Moving average of answered calls, queueing at the owner included; zero
  /// until the first answer.
  base::Duration recent_latency{0};
  /// Calls of this host that have neither been answered nor withdrawn.
  std::uint32_t outstanding = 0;
  /// Calls of all hosts queued or running, as last reported by the owner.
  std::uint32_t reported_load = 0;
  base::TimePoint load_reported_at{};

  friend bool operator==(const LeafObservation&,
                         const LeafObservation&) = default;
};

}  // namespace berylreach::routing
