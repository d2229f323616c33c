// Counters of a leaf gate, for the metrics page.
#pragma once

#include <cstdint>

namespace berylreach::limits {

/// Numbers of calls, and of resets of the limit, since the gate was created.
struct GateCounters {
  std::uint64_t received = 0;
  std::uint64_t started = 0;
  /// Answered by the leaf with a result.
  std::uint64_t completed = 0;
  /// Refused because the call could not complete before its deadline or the
  /// queue is full.
  std::uint64_t refused_overload = 0;
  /// Refused because the leaf is draining, its zone is out of service, or the
  /// host no longer owns it.
  std::uint64_t refused_closed = 0;
  /// Refused because the fingerprint became suspect or blocked while queued.
  std::uint64_t refused_suspect = 0;
  /// Calls redirected to another leaf because no slot was free.
  std::uint64_t refused_no_slot = 0;
  /// Reached their deadline in the queue.
  std::uint64_t expired = 0;
  /// Withdrawn by the sender before the call started.
  std::uint64_t cancelled_queued = 0;
  /// Started calls for which a cancellation was sent to the leaf.
  std::uint64_t cancelled_running = 0;
  /// Started calls that were lost or timed out without an answer of the leaf,
  /// so that they may still be running there.
  std::uint64_t unanswered = 0;
  /// Resets of the concurrency limit to 1.
  std::uint64_t cold_resets = 0;

  friend bool operator==(const GateCounters&, const GateCounters&) = default;
};

}  // namespace berylreach::limits
