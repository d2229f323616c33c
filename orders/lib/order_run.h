// State of one order that this host is claiming, running or recording.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "berylreach/base/clock.h"
#include "berylreach/model/call_id.h"
#include "berylreach/model/caller_reply.h"
#include "order_key.h"
#include "waiter.h"

namespace berylreach::orders {

/// State of a run at its coordinator.
enum class RunState : std::uint8_t {
  kReading,   ///< Needs a journal read that starts after its arrival.
  kClaiming,  ///< Waits for its claim to be written and confirmed.
  kSent,      ///< Passed to the core; the outcome is awaited.
  kEnded,     ///< Ran or may have run; the outcome is not yet in the store.
};

/// One run of an order. A run that was sent exists until its outcome is in the
/// store or proves that the order did not run. Therefore, an order
/// that this incarnation has claimed but that has no OrderRun did not run and
/// may be claimed again.
struct OrderRun {
  OrderKey key;
  model::CallId id;
  std::string payload;
  std::uint64_t payload_hash = 0;
  std::chrono::system_clock::time_point issued_at;
  base::TimePoint deadline;
  /// When the run stops waiting for the store; not after `deadline`.
  base::TimePoint give_up_at;
  /// Nonce of this run's claim.
  std::uint64_t nonce = 0;
  /// In kReading: minimum id of a read that is new enough for this run.
  std::uint64_t min_read_id = 0;
  RunState state = RunState::kClaiming;
  /// Forwards of the order that have no reply yet.
  std::vector<Waiter> waiters;
  /// In kEnded: the reply to repeats of the order.
  model::CallerReply reply;
};

}  // namespace berylreach::orders
